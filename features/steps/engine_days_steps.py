import dataclasses
import functools
import json
import statistics
import subprocess
import sys
from collections import Counter

from behave import given, then, when

from features.support.engine_world import make_step
from firladder._internal.engine.estimates import Estimates
from firladder._internal.engine.planning import Planner
from firladder._internal.engine.shortages import Shortages
from firladder._internal.evaluation.day_driver import DayDriver
from firladder._internal.evaluation.day_jobs import DayJob, Departure, Spell
from firladder._internal.evaluation.day_kinds import HEAVY, URGENT
from firladder._internal.evaluation.day_loads import DAYS
from firladder._internal.evaluation.day_policies import PLANNERS
from firladder._internal.evaluation.day_report import simulate_days
from standins.site import ROOT


@when('the day "{day}" is played with seeds {one:d} and {two:d} by {planners}')
def play(context, day, one, two, planners):
    first, other = (name.strip('"') for name in planners.split(" and "))
    context.outcomes = {
        name: simulate_days(day, name, [one, two]) for name in (first, other)
    }


@functools.cache
def simulate_once(day, planner, seeds):
    return simulate_days(day, planner, seeds)


@when('the day "{day}" is played with seeds 1, 2 and 3 by "{better}" and "{other}"')
def play_pair(context, day, better, other):
    context.pair = (better, other)
    context.outcomes = {n: simulate_once(day, n, (1, 2, 3)) for n in context.pair}


@then('its worst windows earn at least {more:f} more than those of "{other}"')
def check_windows(context, more, other):
    better, worse = (
        statistics.mean(o.worst_window_share for o in context.outcomes[name])
        for name in context.pair
    )
    assert context.pair[1] == other
    assert better >= worse + more, (better, worse)


@when('the day "{name}" is drawn with seeds 1 to 20')
def draw_days(context, name):
    context.days = [DAYS.find(name)(seed) for seed in range(1, 21)]


def count_jobs(context, find_key):
    jobs = (job for day in context.days for job in day.jobs)
    return Counter(find_key(j) for j in jobs if j.accepted.accepted_at_s >= 0)


@then("its busiest seconds of 13 have at least 2 times the arrivals of its quietest")
def check_rates(context):
    seconds = count_jobs(context, lambda j: int(j.accepted.accepted_at_s) % 13)
    assert len(seconds) == 13, seconds
    assert max(seconds.values()) >= 2 * min(seconds.values()), seconds


@then("its three largest organisations have {least:f} to {most:f} of the jobs")
def check_organisations(context, least, most):
    counts = count_jobs(context, lambda j: j.accepted.organisation)
    largest = sum(count for _, count in counts.most_common(3))
    assert least <= largest / counts.total() <= most, counts


@then("{least:f} to {most:f} of its small jobs have a second step")
def check_second_steps(context, least, most):
    kinds = count_jobs(context, lambda j: (j.kind.name, len(j.accepted.workload.steps)))
    share = kinds["small", 2] / (kinds["small", 1] + kinds["small", 2])
    assert least <= share <= most, kinds


@then('"{name}" serves at least {share:f} of the urgent work\'s worth')
def check_urgent(context, name, share):
    found = [o.by_kind["urgent"] for o in context.outcomes[name]]
    assert min(found) >= share, found


@then('"{name}" earns at least {factor:f} times what "{other}" earns')
def check_earned(context, name, factor, other):
    earned = [sum(o.earned for o in context.outcomes[n]) for n in (name, other)]
    assert earned[0] >= factor * earned[1], earned


@then('every job that "{name}" started has ended')
def check_started(context, name):
    missed = [o.missed_by for o in context.outcomes[name]]
    assert not any("never started" in row for row in missed), missed


@then("all outcomes are the same")
def check_same(context):
    outcomes = [o for rows in context.outcomes.values() for o in rows]
    assert len(outcomes) == 2
    assert outcomes[0] == outcomes[1], outcomes


@when("the small pool loses 5 of its workers at 8 s, with seed {seed:d}")
def lose(context, seed):
    day = DAYS.find("small_pool")(seed)
    lost = tuple((8.0, w.worker_id) for w in day.workers[::10])
    context.driver = DayDriver(
        dataclasses.replace(day, lost=lost), PLANNERS.find("engine")
    )
    context.outcome = context.driver.run()


@then("every job has ended, and lost work is counted")
def check_ended(context):
    job_outcomes = context.driver.job_outcomes.values()
    left = [a.job.accepted.job_id for a in job_outcomes if a.ended_at is None]
    assert not left, left
    assert context.outcome.lost_core_s > 0


def make_day_job(day, kind, at, step, takes_s):
    model = next(j.accepted for j in day.jobs if j.kind.name == kind.name)
    workload = dataclasses.replace(model.workload, steps=(step,))
    accepted = dataclasses.replace(model, accepted_at_s=at, workload=workload)
    return DayJob(accepted, kind, takes_s)


@given("a day of one worker, on which saved work of 10 s is stopped at 4 s for 2 s")
def make_small_day(context):
    day = DAYS.find("small_pool")(1)
    whole = make_step(1, 8, gang=True, checkpoints=True)
    context.day = dataclasses.replace(
        day,
        workers=day.workers[:1],
        jobs=(
            make_day_job(day, HEAVY, 0.0, whole, 10.0),
            make_day_job(day, URGENT, 4.0, make_step(1, 8, gang=True), 2.0),
        ),
    )


@when('the day is played by "{planner}"')
def play_small_day(context, planner):
    context.driver = DayDriver(context.day, PLANNERS.find(planner))
    context.outcome = context.driver.run()


@then("the saved work ends within 13 s of its arrival, and nothing was lost")
def check_saved(context):
    took = {a.job.kind.name: a.took_s for a in context.driver.job_outcomes.values()}
    assert 12.0 < took["heavy"] < 13.0, took
    assert took["urgent"] < 3.0, took
    assert context.outcome.lost_core_s == 0
    assert context.outcome.preemptions == 1


FAULTS = {
    "w000 is 6.5 times slower from 4 s to 6 s": {
        "spells": (Spell(4.0, 6.0, "w000", slowdown=6.5),)
    },
    "w000 fails all that it starts until 2 s": {
        "spells": (Spell(0.0, 2.0, "w000", failing=True),)
    },
    "w000 leaves at 5 s, as it says at 2 s": {
        "departures": (Departure(2.0, "w000", 3.0),)
    },
    "w000 is lost at 2 s": {"lost": ((2.0, "w000"),)},
    "the store is away from -1 s to 3 s": {"outages": ((-1.0, 3.0),)},
    "the store is away from 8 s to 12 s": {"outages": ((8.0, 12.0),)},
    "there is no leader from 4 s to 9 s": {"takeovers": ((4.0, 9.0),)},
    "there is no leader from 8 s to 12 s": {"takeovers": ((8.0, 12.0),)},
}


@when("a day of one job of 10 s on two workers is played, on which {fault}")
def play_fault(context, fault):
    day = DAYS.find("uneven")(1)
    step = make_step(1, 8, gang=True)
    kind = dataclasses.replace(HEAVY, failed_share=0.0)
    day = dataclasses.replace(
        day,
        workers=day.workers[:2],
        slowdowns={},
        jobs=(make_day_job(day, kind, 0.0, step, 10.0),),
        **FAULTS[fault],
    )
    context.driver = DayDriver(day, PLANNERS.find("engine"))
    context.outcome = context.driver.run()


@then("the job takes {least:f} s to {most:f} s, most delayed by: {cause}")
def check_delay(context, least, most, cause):
    (found,) = context.driver.job_outcomes.values()
    assert least <= found.took_s <= most, found
    assert found.find_main_delay() == cause, found


@then("{count:d} runs were started, and {work} work was lost")
def check_runs(context, count, work):
    (job,) = context.driver.core.jobs.values()
    assert job.units[0].run == count, job
    assert (context.outcome.lost_core_s > 0) == (work == "some"), context.outcome


@when("a job of 10 s on one worker is cancelled at 2 s, with another behind it")
def cancel(context):
    day = DAYS.find("uneven")(1)
    step = make_step(1, 8, gang=True)
    first, second = (make_day_job(day, HEAVY, at, step, 10.0) for at in (0.0, 1.0))
    accepted = dataclasses.replace(second.accepted, job_id="0" * 16)
    jobs = (
        dataclasses.replace(first, cancelled_at_s=2.0),
        dataclasses.replace(second, accepted=accepted),
    )
    day = dataclasses.replace(day, workers=day.workers[:1], slowdowns={}, jobs=jobs)
    context.driver = DayDriver(day, PLANNERS.find("engine"))
    context.outcome = context.driver.run()


@then("the other one has ended by 13 s, and only its worth counts")
def check_cancelled(context):
    other = context.driver.job_outcomes["0" * 16]
    assert other.ended_at is not None, other
    assert other.ended_at < 13.0, other
    assert context.outcome.full_worth == other.full_worth, context.outcome
    assert context.outcome.lost_core_s == 0, context.outcome


@when('"{arguments}" is run')
def run_command(context, arguments):
    script = (
        "from firladder._internal.cli.main import main; import sys; sys.exit(main())"
    )
    command = [sys.executable, "-c", script, *arguments.split()]
    context.command = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=120
    )


@then('it prints a row for "{day}" and "{planner}" with {count:d} more columns')
def check_row(context, day, planner, count):
    result = context.command
    assert result.returncode == 0, result.stderr
    row = result.stdout.splitlines()[-1].strip("| ").split(" | ")
    assert row[:2] == [day, planner], row
    assert len(row) == 2 + count, row


@then("it prints JSON with the same columns, and the share of each seed")
def check_json(context):
    assert context.command.returncode == 0, context.command.stderr
    row = json.loads(context.command.stdout)
    assert len(row) == 2 + 17 + 1, row
    assert row["earned by seed"] == [row["earned"]], row


@then('it fails and names "{wrong}" and "{right}"')
def check_failure(context, wrong, right):
    result = context.command
    assert result.returncode != 0
    assert wrong in result.stderr, result.stderr
    assert right in result.stderr, result.stderr


class UncachedEstimates(Estimates):
    """Computes each estimate without a cache."""

    def estimate_remaining(self, unit, now):
        self.begin_pass()
        return super().estimate_remaining(unit, now)

    def estimate_time_to_free(self, candidate, now):
        self.begin_pass()
        return super().estimate_time_to_free(candidate, now)


class UncachedShortages(Shortages):
    """Checks each worker for each demand."""

    def rules_out(self, demand):
        return False


class UncachedPlanner(Planner):
    """Plans without the caches of a pass."""

    def __init__(self, core, **settings):
        super().__init__(core, **settings, estimates=UncachedEstimates(core))
        self._shortages = UncachedShortages()


@when('"{name}" is played with seed {seed:d}, with and without the caches of passes')
def play_both(context, name, seed):
    day = DAYS.find(name)(seed)
    context.both = [DayDriver(day, p).run() for p in (Planner, UncachedPlanner)]


@then("both outcomes are the same")
def check_both(context):
    assert context.both[0] == context.both[1], context.both
