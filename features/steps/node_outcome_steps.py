import asyncio
import itertools

from behave import given, then, when

from features.support.gang_faults import GangPlay
from features.support.gang_store import STEP_S, STORE, Fate, Fault, make_records
from firladder._internal.engine.state import TERMINAL, JobState
from firladder._internal.node.keys import CANCELS, SUBMISSIONS

JOB = "0000000000000001"
TAKES_S = 2.0
LOSSES = {
    "loses no call": (Fate.DELIVERED, 0.0),
    "loses the answers to all writes": (Fate.UNANSWERED, 0.0),
    "loses all writes": (Fate.LOST, 0.0),
    "carries out writes 2 s late": (Fate.LATE, 2.0),
}


class AlternatingPlay(GangPlay):
    """Loses the first answer to a write after some time, and each second one then."""

    def __init__(self, *fields, since, **named):
        super().__init__(*fields, **named)
        self.since = since
        self.writes = 0

    def choose_fault(self, kind, machine):
        if kind != "write" or self.now < self.since:
            return super().choose_fault(kind, machine)
        self.writes += 1
        fate = Fate.UNANSWERED if self.writes % 2 else Fate.DELIVERED
        return Fault(kind, machine, fate)


@given("a store that {loses} from {since:g} s to {until:g} s")
def describe_store(context, loses, since, until):
    fate, late_s = LOSSES[loses]
    context.late_s = 0.0
    fault = Fault("write", STORE, fate, late_s=late_s, since=since, until=until)
    context.play = GangPlay(1, takes_s=TAKES_S, faults=[fault])


@given("a store that loses the answer to every second write from {since:g} s on")
def describe_alternating_store(context, since):
    context.late_s = 0.0
    context.play = AlternatingPlay(1, takes_s=TAKES_S, since=since)


@given("a leader that reads a cancellation {late_s:g} s late")
def describe_leader(context, late_s):
    context.late_s = late_s


def delay_cancellations(client, late_s):
    watch = client.watch

    async def watch_late(prefix, **fields):
        found = await watch(prefix, **fields)
        if prefix == SUBMISSIONS and any(
            c.key.startswith(CANCELS) for c in getattr(found, "changes", ())
        ):
            await asyncio.sleep(late_s)
        return found

    client.watch = watch_late


def play_end(context, cancel_after_s):
    async def ask(play, term):
        """Ask a node that reaches the leader, and one that reads the records."""
        core, records = term.core, make_records(term.client)
        while True:
            shown = core.read_state(JOB)
            if shown is None:
                shown = await records.read_state(JOB)
            context.shown.append((play.now, "leader", shown))
            shown = await records.read_state(JOB)
            context.shown.append((play.now, "records", shown))
            if core.jobs[JOB].settled:
                context.settled_at = min(context.settled_at, play.now)
            await asyncio.sleep(STEP_S)

    async def script(play):
        term, _ = play.terms[-1]
        delay_cancellations(term.client, context.late_s)
        play.submit(JOB, count=1, gang=False, need=2)
        await asyncio.sleep(0.5)
        play.spawn(ask(play, term))
        (member,) = play.members
        if cancel_after_s is not None:
            end_at = member.started_at + TAKES_S
            await asyncio.sleep(end_at + cancel_after_s - play.now)
            play.cancel(JOB)
        await asyncio.sleep(10.0)

    context.shown = []
    context.settled_at = float("inf")
    context.play.play(script, seconds=14.0)


@when("a job ends meanwhile, and both kinds of nodes are asked for its state")
def end_job(context):
    play_end(context, None)


@when("a job is cancelled {after_s:g} s after its end, and its state is asked for")
def cancel_job(context, after_s):
    play_end(context, after_s)


@then("no outcome is followed by another state")
def check_kept(context):
    states = [state for _, _, state in context.shown]
    outcome = next(state for state in states if state in TERMINAL)
    since = itertools.dropwhile(lambda row: row[2] not in TERMINAL, context.shown)
    withdrawn = [row for row in since if row[2] is not outcome]
    assert not withdrawn, (outcome, withdrawn[:3])


@then("no outcome is followed by another outcome")
def check_same(context):
    outcomes = {state for _, _, state in context.shown if state in TERMINAL}
    assert len(outcomes) == 1, outcomes


@then('the outcome is "{outcome}"')
def check_outcome(context, outcome):
    assert context.shown[-1][2] is JobState(outcome), context.shown[-1]


@then("the leader knows the outcome by {at_s:g} s")
def check_known(context, at_s):
    assert context.settled_at <= at_s, context.settled_at
