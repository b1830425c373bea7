"""Where the fleet keeps its records in the store."""

LEADER = "firladder/leader"
"""Who leads: an address, under a lease. Its revision is the fencing token."""

SUBMISSIONS = "firladder/in/"
"""Records that any node creates: accepted jobs and cancellations."""

JOBS = SUBMISSIONS + "j/"
CANCELS = SUBMISSIONS + "c/"

PROGRESS = "firladder/run/"
"""Records that the leader alone writes: what became of each job."""
