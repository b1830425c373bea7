"""The daemon of an entry VM: accepts jobs; one elected node schedules them."""
