"""The daemon that places gangs on the workers of a failure domain."""
