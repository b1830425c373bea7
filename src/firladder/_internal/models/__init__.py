"""Plain data types, validated where they enter the process."""
