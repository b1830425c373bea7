from behave import then, when

from firladder._internal.evaluation.report import Outcome, evaluate


class EvaluationCheck:
    """The outcomes of two policies under one load, with the same seeds."""

    def __init__(self, load: str, policies: tuple[str, str], seeds: list[int]) -> None:
        self.outcomes: dict[str, Outcome] = {
            policy: evaluate(load, policy, seeds=seeds, racks=[1])
            for policy in policies
        }

    def compute_ratio(self, field: str, policy: str, baseline: str) -> float:
        """Return the ratio of the policy's value to the baseline's."""
        ours, theirs = (getattr(self.outcomes[p], field) for p in (policy, baseline))
        return float(ours) / float(theirs)


@when('the {load} load runs with seeds {a:d} and {b:d} under "{first}" and "{second}"')
def run_load(context, load, a, b, first, second):
    context.evaluation = EvaluationCheck(load, (first, second), [a, b])


@when('the {load} load runs beside it under "{first}" and "{second}"')
def run_beside(context, load, first, second):
    context.beside = EvaluationCheck(load, (first, second), [1, 2])


@then('no reclaim failed under "{policy}", of at least {minimum:d}')
def check_failures(context, policy, minimum):
    outcome = context.evaluation.outcomes[policy]
    assert outcome.reclaims >= minimum, outcome
    assert outcome.failures == 0, outcome


@then('reclaims failed under "{policy}"')
def check_baseline_failures(context, policy):
    assert context.evaluation.outcomes[policy].failures > 0


@then(
    'the large median wait under "{policy}" is at most {factor:f} times '
    'that of "{baseline}"'
)
def check_median(context, policy, factor, baseline):
    ratio = context.evaluation.compute_ratio("large_wait_p50", policy, baseline)
    assert ratio <= factor, ratio


@then('every job is done under "{policy}"')
def check_done(context, policy):
    assert context.evaluation.outcomes[policy].unfinished == 0


@then(
    "large waits are at most {wait:f} of EASY's, small medians {small:f}, "
    "and lost work {lost:f}"
)
def check_bounds(context, wait, small, lost):
    mixed, reclaim = context.evaluation, context.beside
    ratios = (
        mixed.compute_ratio("large_wait_p95", "cells", "easy_backfill"),
        mixed.compute_ratio("small_p50", "cells", "easy_backfill"),
        reclaim.compute_ratio("lost", "cells", "youngest_first"),
    )
    assert ratios[0] <= wait and ratios[1] <= small and ratios[2] <= lost, ratios
