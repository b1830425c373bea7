"""Parse the command line, call gateways and format output."""
