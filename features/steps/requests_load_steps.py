import random

from behave import given, then, when

from firladder._internal.evaluation.request_report import (
    find_quantile,
    measure_goodput,
    measure_in_time,
)
from firladder._internal.policies.dispatching import ServiceQueues, find_policies
from firladder._internal.policies.queueing import UrgencyQueue
from firladder._internal.policies.request_views import TargetView, WaitingRequest
from firladder._internal.policies.retrying import RetryBudget
from firladder._internal.policies.routing import (
    TargetStats,
    find_typical_latency,
    route_two_choices,
)
from firladder._internal.policies.selectors import Selector
from firladder._internal.policies.sharing import share_by_demand

SEEDS = (1,)


class Measures:
    """Measures that the bounds apply to, as functions of the policies."""

    @staticmethod
    def compare_tails(policies, load, other, urgency):
        tails = [
            find_quantile(name, policies, urgency, 0.99, seeds=SEEDS)
            for name in (load, other)
        ]
        return tails[0] / tails[1]

    @staticmethod
    def compare_goodput(policies, load, other):
        goodput = [measure_goodput(n, policies, seeds=SEEDS) for n in (load, other)]
        return goodput[0] / goodput[1]


@then(
    'urgent work under "{load}" has a 99th percentile of at most {factor:g} '
    'times that under "{other}"'
)
def check_urgent_tail(context, load, factor, other):
    context.meets_bound = lambda p: (
        Measures.compare_tails(p, load, other, "urgent") <= factor
    )
    ratio = Measures.compare_tails("firladder", load, other, "urgent")
    assert ratio <= factor, ratio


@then(
    'all work under "{load}" has a 99th percentile of at most {factor:g} '
    'times that under "{other}"'
)
def check_tail(context, load, factor, other):
    context.meets_bound = lambda p: (
        Measures.compare_tails(p, load, other, "normal") <= factor
    )
    ratio = Measures.compare_tails("firladder", load, other, "normal")
    assert ratio <= factor, ratio


@then('goodput under "{load}" is at least {percent:d}% of that under "{other}"')
def check_goodput(context, load, percent, other):
    context.meets_bound = lambda p: (
        Measures.compare_goodput(p, load, other) >= percent / 100
    )
    ratio = Measures.compare_goodput("firladder", load, other)
    assert ratio >= percent / 100, ratio


@then('with the "{policies}" policies it has not')
@then('with the "{policies}" policies it is not')
def check_baseline(context, policies):
    assert not context.meets_bound(policies)


@then('organisation "{name}" is served in time at {percent:d}% under "{load}"')
def check_organisation(context, name, percent, load):
    context.measure = lambda p: measure_in_time(load, p, name, seeds=SEEDS)
    part = context.measure("firladder")
    assert part >= percent / 100, part


@then('with the "{policies}" policies it is served at less than {percent:d}%')
def check_organisation_baseline(context, policies, percent):
    part = context.measure(policies)
    assert part < percent / 100, part


@when("{count:d} overnight requests wait behind urgent ones that never end")
def wait_behind(context, count):
    queue = UrgencyQueue()
    for number in range(count):
        queue.push(WaitingRequest(f"o{number}", "squads", "overnight", 0.0, 1e9))
    context.taken = []
    for turn in range(3000):
        now = turn / 100  # a slot every 10 ms
        queue.push(WaitingRequest(f"u{turn}", "kraftwerk", "urgent", now, 1e9))
        context.taken.append(queue.pop(now).urgency)


@then("all of them get a slot within 30 s")
def check_not_starved(context):
    assert context.taken.count("overnight") == 100, context.taken.count("overnight")


@then("at least 7 of 8 slots go to urgent work")
def check_urgent_part(context):
    windows = (context.taken[i : i + 8] for i in range(0, 3000, 8))
    assert all(w.count("overnight") <= 1 for w in windows)


@when("{count:d} requests are refused by a full queue")
def refuse_many(context, count):
    queues = ServiceQueues(find_policies(), queue_limit=10)
    rng = random.Random(1)
    context.retry_after_times = []
    for number in range(count + 10):
        req = WaitingRequest(str(number), "kraftwerk", "urgent", 0.0, 100.0)
        failure = queues.admit(
            req, room=10, in_flight=10, expected_s=0.2, request_share=1.0, rng=rng
        )
        if failure is None:
            queues.push(req, Selector())
        else:
            context.retry_after_times.append(failure.retry_after_s)


@then("their times to retry spread over at least the time they take to run")
def check_spread(context):
    assert len(context.retry_after_times) == 1000
    run_s = len(context.retry_after_times) * 0.2 / 10
    times = sorted(context.retry_after_times)
    assert times[-1] - times[0] >= run_s, (times[0], times[-1], run_s)
    busiest = max(sum(t <= x < t + 1 for x in times) for t in range(int(times[-1])))
    assert busiest <= 3 * len(times) / run_s, busiest


@then("for any demand the shares of {targets:d} targets add up to their slots")
def check_shares(context, targets):
    rng = random.Random(1)
    context.shares = []
    for _ in range(50):
        count = rng.randint(1, 12)
        demands = {f"g{n}": rng.choice((0, 1, 5, 40, 300)) for n in range(count)}
        names = {f"runner-{target}": 8 for target in range(targets)}
        found = {g: share_by_demand(names, demands, g) for g in demands}
        for target, name in enumerate(names):
            shares = {g: found[g][name] for g in demands}
            assert sum(shares.values()) == 8, (demands, shares)
            context.shares.append((target, demands, shares))


@then("every gateway with demand has a share")
def check_each_share(context):
    totals = {}
    for target, demands, shares in context.shares:
        totals = {g: totals.get(g, 0) * (target > 0) + n for g, n in shares.items()}
        if target == 23:
            without_share = [g for g, d in demands.items() if d and not totals[g]]
            assert not without_share, (demands, totals)


@when("each of {count:d} requests fails at every send")
def fail_all(context, count):
    budget, rng = RetryBudget(), random.Random(1)
    context.pauses = []
    for _ in range(count):
        budget.earn()
        tries = 1
        while (
            pause_s := budget.plan(tries=tries, now=0, deadline=9, rng=rng)
        ) is not None:
            context.pauses.append(pause_s)
            tries += 1


@then("at most {count:d} retries were sent, at different times")
def check_retries(context, count):
    assert 0 < len(context.pauses) <= count, len(context.pauses)
    assert len(set(context.pauses)) > len(context.pauses) / 2


@given(
    "{count:d} targets with a latency of {usual_s:f} s, "
    "of which one answered in {slow_s:f} s"
)
def make_targets(context, count, usual_s, slow_s):
    context.usual_s = usual_s
    context.targets = {f"t{number}": TargetStats() for number in range(count)}
    for name, stats in context.targets.items():
        latency_s = slow_s if name == "t0" else usual_s
        stats.record_success(latency_s, 0.0, usual_s)


@when("{count:d} requests are routed, one after the other, within {span_s:f} s")
def route_requests(context, count, span_s):
    rng = random.Random(1)
    targets = context.targets
    context.sent = dict.fromkeys(targets, 0)
    for number in range(count):
        now = span_s * number / count
        typical_s = find_typical_latency(targets.values())
        views = [
            TargetView(name, 0, 8, stats.estimate_latency(now, typical_s))
            for name, stats in targets.items()
        ]
        name = route_two_choices(views, now, rng)
        context.sent[name] += 1
        latency_s = context.usual_s * rng.uniform(0.9, 1.1)
        targets[name].record_success(latency_s, now, typical_s)


@then("that target gets at least {count:d} of them")
def check_share(context, count):
    assert context.sent["t0"] >= count, context.sent
