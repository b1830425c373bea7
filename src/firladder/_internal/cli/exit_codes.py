"""Exit codes of the command line; docs/cli.md describes them for scripts."""

EXIT_OK = 0
"""The work is done, or was accepted."""
EXIT_FAILED = 1
"""The work ran and failed."""
EXIT_USAGE = 2
"""The command line or a setting is wrong; nothing was sent."""
EXIT_REFUSED = 3
"""The call was rejected, or the work did not run."""
EXIT_UNKNOWN = 4
"""The work may have run; do not repeat it if it must run at most once."""
EXIT_UNREACHABLE = 5
"""No gateway was reached, or none replied to a call that only reads."""
EXIT_PIPE = 141
"""The reader closed the output; shells report SIGPIPE as 128 + 13."""

OUTCOME_EXIT_CODES = {
    "done": EXIT_OK,
    "failed": EXIT_FAILED,
    "not_run": EXIT_REFUSED,
    "unknown": EXIT_UNKNOWN,
}
