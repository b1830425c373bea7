"""The daemon of an entry VM: it takes jobs, and one of the fleet schedules them."""
