"""State charts in TOML files, and their interpreter."""
