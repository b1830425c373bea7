"""Checks of rules on the events that runners have seen."""

import collections


def find_twice(events):
    """Return the starts of tasks that had ended ``done``, by the rule TWICE.

    An end counts if it is taken note of before or after the start, unless the lease of
    its runner lapsed between the end and its being taken note of.
    """
    done, noted, lapses = {}, {}, collections.defaultdict(list)
    for event in events:
        if event["what"] == "lease lapsed":
            lapses[event["runner"]].append(event["at"])
        if event.get("how") != "done":
            continue
        key = (event["runner"], event["task"], event["run"])
        if event["what"] == "end":
            done[key] = event["at"]
        elif event["what"] == "end noted":
            noted[key] = event["at"]
    counted = {
        key: at
        for key, at in done.items()
        if key in noted and not any(at <= x <= noted[key] for x in lapses[key[0]])
    }
    ended_at = {}
    for (runner, task, run), at in counted.items():
        if task not in ended_at or at < ended_at[task][0]:
            ended_at[task] = (at, runner, run)
    broken = []
    for event in events:
        found = ended_at.get(event.get("task"))
        if event["what"] == "start" and found and event["at"] > found[0]:
            broken.append(
                f"TWICE: {event['task']} run {found[2]} ended done at {found[0]} on "
                f"{found[1]}, and run {event['run']} started at {event['at']} on "
                f"{event['runner']}"
            )
    return broken


def find_idle_job(samples, events, job, *, tasks, attempts):
    """Return a span in which a job had nothing running, by the rule LOST.

    ``samples`` has times, the states shown, and how many tasks ran on all runners. The
    span counts from 4 s after the last event of the job on a runner, and lasts 3 s. The
    job's next tasks must have their turn: not ended ``done`` and failed less often than
    ``attempts`` times. All runners are idle in it, so there is room.
    """
    ends = [e for e in events if e["what"] == "end" and e["task"].startswith(job)]
    done = {e["task"] for e in ends if e["how"] == "done"}
    failed = collections.Counter(e["task"] for e in ends if e["how"] == "failed")
    due = tasks - len(done)
    if not due or max(failed.values(), default=0) >= attempts:
        return []
    idle_since = None
    for at, state, running in samples:
        if state not in ("queued", "running") or running:
            idle_since = None
        elif idle_since is None:
            idle_since = at
    if idle_since is None or samples[-1][0] - idle_since < 3.0 + 4.0:
        return []
    return [
        f"LOST: job {job} is shown as {samples[-1][1]} and has had nothing running for "
        f"{samples[-1][0] - idle_since:.1f} s, though {due} of its {tasks} tasks are "
        f"not done, none failed more than {max(failed.values(), default=0)} of "
        f"{attempts} times, and all runners are idle"
    ]
