"""The commands, each a class that the registry imports on demand."""
