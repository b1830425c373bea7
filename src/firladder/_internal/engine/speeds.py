"""Learn how fast each worker is, from the tasks that run on it and elsewhere."""

import math

from .machines import RESIDUALS_KEPT, Machine, Machines
from .pool_spread import PoolSpread
from .slow_phases import Note, SlowPhases, Window
from .speed_links import Sample, SpeedLink
from .state import Phase, Placement, Unit
from .step_times import StepTime, StepTimes

MIN_PERCENT = 5.0
"""Progress from which a task's run time is extrapolated."""

ROUNDING_PERCENT = 0.3
"""Standard error of progress in whole per cent (uniform over one per cent)."""

TIME_ERROR_S = 0.05
"""Standard error of when a task began and when its progress was read: orders and polls
take some 20 ms each way."""

DONE_PERCENT = 100.0
"""Progress of a gang's member that is done and waits for the others."""

PAIRED_PERCENT = 25.0
"""Progress from which a task's residual is paired with others on its worker."""

MAX_PAIRED_VARIANCE = 0.3
"""Variance of a step's estimate up to which a residual says something of the worker."""

PAIRED_VARIANCE = 0.1
"""Variance of a step's estimate at which a residual counts half: about that of its
tasks."""

MAX_KNOWN_VARIANCE = 0.08
"""Variance of an expected run time up to which a task tells how tasks differ."""

MAX_PAIRED_RESIDUAL = 1.0
"""Bound of a residual that is paired, so that no single task decides the spread."""

MIN_INLIER_SHARE = 0.5
"""Share from which an observation is taken for one of a usual task."""

CHANGE_VARIANCE = 0.04**2
"""Variance of the change of a worker's log speed between two of its tasks."""


class Speeds:
    """Slowness of each worker, relative to the others.

    Urgent work that is in time on a usual worker may be late on a slow one: when a
    third of a pool took a fourth longer, most late jobs ran there. Workers do not
    report their speed. The logarithm of a task's run time is the sum of its step's, of
    its worker's slowness and of the task's own unevenness. Steps and workers are
    estimated together: the tasks of a step on a worker tell the worker how much they
    differ from what the other workers say of the step, and the step how much they
    differ from what the other steps say of the worker (Gaussian belief propagation on
    the graph of steps and workers, one update for each report).
    """

    def __init__(self, machines: Machines, note: Note) -> None:
        """Learn the speeds of ``machines``; ``note`` logs what changes decisions."""
        self._note = note
        self.machines = machines
        self.steps = StepTimes()
        self.slow_phases = SlowPhases(note)
        self._links: dict[tuple[StepTime, Machine], SpeedLink] = {}

    def learn_from_progress(self, unit: Unit, placement: Placement, now: float) -> None:
        """Learn from a report that lists an active task."""
        sample = placement.sample
        if sample is None:
            if placement.phase is not Phase.ACTIVE or unit.step.lasting:
                return
            sample = self._begin(unit, placement, now)
        if sample is None or sample.done:
            return
        percent = placement.percent
        if percent >= DONE_PERCENT:
            sample.done = True
            self._learn_bound(sample, now)
            return
        self._judge(sample, percent, now)
        done = percent + 0.5 - sample.began_percent
        took_s = now - sample.began_at
        if sample.window.disturbed or done < MIN_PERCENT or took_s <= 0:
            return
        noise = (ROUNDING_PERCENT / done) ** 2 + (TIME_ERROR_S / took_s) ** 2
        sample.observe(math.log(took_s * 100 / done), noise, now)
        if percent >= PAIRED_PERCENT and not sample.link.paired:
            self._pair(sample)

    def learn_from_end(self, unit: Unit, placement: Placement, now: float) -> None:
        """Learn from a task that has succeeded."""
        sample = placement.sample
        if sample is None:
            if unit.step.lasting or not placement.ran_from_start:
                return
            sample = self._begin(unit, placement, now)
        if sample is None or sample.done:
            return
        sample.done = True
        alone = len(unit.indices) == 1
        if alone and sample.exact and sample.log_time is None:
            took_s = now - sample.began_at
            if took_s > 0 and not sample.window.disturbed:
                sample.observe(math.log(took_s), (TIME_ERROR_S / took_s) ** 2, now)
            return
        # The members of a gang end together: its end only bounds what each took.
        self._learn_bound(sample, now)

    def settle(self, placement: Placement) -> None:
        """Keep what a task has told whose run is over."""
        sample, placement.sample = placement.sample, None
        if sample is None:
            return
        link = sample.link
        if sample.log_time is not None:
            # The step is known better now than when the progress was read.
            sample.observe(sample.log_time, sample.noise, link.machine.changed_at)
            if not link.paired:
                self._pair(sample)
            _learn_queue(sample)
        link.running -= 1
        if not link.running:
            del self._links[link.step, link.machine]
            _settle_link(link)

    def predict_run_time(self, unit: Unit, worker_id: str) -> tuple[float, float]:
        """Return the expected log run time of a task on a worker, and its variance."""
        machine = self.machines.obtain(worker_id, unit.job.accepted.pool)
        return SpeedLink(machine, self.steps.obtain(unit)).predict()

    def forget_worker(self, worker_id: str) -> None:
        """Drop a worker that is gone; its machine's estimate is kept."""
        self.machines.release(worker_id)

    def forget_job(self, job_id: str) -> None:
        """Drop the estimates of a job's steps."""
        self.steps.forget_job(job_id)

    def update_pool(self, pool: PoolSpread) -> None:
        """Apply a changed variance to all machines of a pool."""
        for machine in self.machines:
            if machine.pool is pool and machine.measured:
                machine.update_mean()
        pool.begin_epoch()

    def _begin(self, unit: Unit, placement: Placement, now: float) -> Sample | None:
        """Begin to observe a task once all members of its unit are active."""
        alone = len(unit.indices) == 1
        if not alone and not unit.all_active:
            return None
        began_at = placement.active_at if alone else unit.active_since
        began_percent = 0.0
        # A task whose start was not answered is first seen at work.
        seen_at_work = placement.percent >= 1 and now <= began_at
        exact = placement.ran_from_start and not seen_at_work
        if not exact:
            # Work that was resumed, that a former leader started, or whose start is
            # not known: only the progress from here on is.
            began_at, began_percent = now, placement.percent + 0.5
        link = self._obtain_link(unit, placement)
        link.running += 1
        window = Window(began_at, began_percent)
        sample = Sample(link, began_at, began_percent, exact, window)
        placement.sample = sample
        return sample

    def _obtain_link(self, unit: Unit, placement: Placement) -> SpeedLink:
        machine = self.machines.obtain(placement.worker_id, unit.job.accepted.pool)
        step = self.steps.obtain(unit)
        link = self._links.get((step, machine))
        if link is None:
            link = self._links[step, machine] = SpeedLink(machine, step)
            machine.running += 1
        return link

    def _judge(self, sample: Sample, percent: float, now: float) -> None:
        """Compare the progress since the last report with what was expected."""
        link = sample.link
        if sample.log_time is None:
            log_time, variance = link.predict()
            variance += link.step.queue.task_variance
        else:
            log_time, variance = sample.log_time, sample.noise
        self.slow_phases.judge(
            link.machine,
            link.step.job_id,
            sample.window,
            percent,
            now,
            log_time=log_time,
            variance=variance,
            own=sample.log_time is not None,
        )

    @staticmethod
    def _learn_bound(sample: Sample, now: float) -> None:
        """Learn from a member that was done at some time before ``now``."""
        took_s = now - sample.began_at
        if took_s <= 0 or sample.window.disturbed or not sample.exact:
            return
        bound = math.log(took_s)
        if sample.log_time is not None:
            if sample.log_time > bound:
                sample.observe(bound, sample.noise, now)
        elif sample.link.predict()[0] > bound:
            # It took at most this long, which is less than expected.
            sample.observe(bound, (TIME_ERROR_S / took_s) ** 2, now)
            sample.link.paired = True

    def _pair(self, sample: Sample) -> None:
        """Pair the residual of a step's tasks with those of other jobs there."""
        link = sample.link
        machine, job_id = link.machine, link.step.job_id
        step_mean, step_variance = link.estimate_step()
        if sample.inlier_share < MIN_INLIER_SHARE or link.precision <= 0:
            return
        if step_variance > MAX_PAIRED_VARIANCE:
            return
        link.paired = True
        residual = link.weighted / link.precision - step_mean
        residual = max(-MAX_PAIRED_RESIDUAL, min(MAX_PAIRED_RESIDUAL, residual))
        weight = PAIRED_VARIANCE / (PAIRED_VARIANCE + step_variance)
        pool = machine.pool
        others = [row for row in machine.residuals if row[0] != job_id]
        newest = (job_id, weight * residual, weight)
        machine.residuals = (*machine.residuals[1 - RESIDUALS_KEPT :], newest)
        pool.add_residual(weight * residual, len(others))
        if not others:
            return
        former = (machine.product_sum, machine.product_weight)
        machine.product_sum += weight * residual * sum(row[1] for row in others)
        machine.product_weight += weight * sum(row[2] for row in others)
        pool.replace_products(former, (machine.product_sum, machine.product_weight))
        differed = pool.distinct
        if pool.update_variance():
            self.update_pool(pool)
        if pool.distinct is not differed:
            self._note(
                "speeds of workers differ" if pool.distinct else "workers equally fast",
                pool=pool.name,
                spread=round(pool.spread, 3),
                pairs=pool.pairs,
            )


def _learn_queue(sample: Sample) -> None:
    """Learn how a queue's tasks and steps differ."""
    step = sample.link.step
    if sample.inlier_share < MIN_INLIER_SHARE or sample.log_time is None:
        return
    mean, variance = sample.link.predict()
    if variance < MAX_KNOWN_VARIANCE:
        square = (sample.log_time - mean) ** 2 - variance - sample.noise
        step.queue.add_task(square)
    if not step.learned:
        step.learned = True
        step.queue.add_step(step.weighted / step.precision, step.log_declared)


def _settle_link(link: SpeedLink) -> None:
    """Add what tasks told of a machine to its lasting estimate."""
    machine = link.machine
    machine.precision -= link.machine_precision
    machine.weighted -= link.machine_weighted
    machine.settled_precision += link.machine_precision
    machine.settled_weighted += link.machine_weighted
    machine.running -= 1
    if not machine.running:
        # Differences of sums leave rounding errors.
        machine.precision = machine.weighted = 0.0
    if link.machine_precision:
        _age(machine)
        machine.update_mean()


def _age(machine: Machine) -> None:
    """Widen a machine's estimate by what its speed may have changed."""
    precision = machine.settled_precision
    aged = precision / (1 + precision * CHANGE_VARIANCE)
    machine.settled_weighted *= aged / precision
    machine.settled_precision = aged
