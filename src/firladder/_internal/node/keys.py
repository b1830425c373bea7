"""Keys and prefixes of the fleet's records in the store."""

LEADER = "firladder/leader"
"""The leader's record, under a lease. The key's revision is the fencing token."""

SUBMISSIONS = "firladder/in/"
"""Records that any node may create: accepted jobs and cancellations."""

JOBS = SUBMISSIONS + "j/"
CANCELS = SUBMISSIONS + "c/"

PROGRESS = "firladder/run/"
"""Records that only the leader writes: the progress of each job."""

PROFILES = "firladder/profiles"
"""The record that only the leader writes of what it has learned of workers."""
