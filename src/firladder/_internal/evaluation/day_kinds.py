"""The kinds of work and the deployments of simulated days.

The figures follow the users' data on the larger deployments: three kinds of work,
workers in racks, organisations with a guarantee.
"""

import dataclasses

from ..models.workload import Resources


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of work, with times in seconds.

    ``one_rack`` is the share of jobs that request one rack, ``checkpoint_share`` the
    share that save their progress, ``late_worth`` the worth of a late job, and
    ``initial_jobs`` the number of jobs that are there when the day begins.

    ``unevenness`` is the standard deviation of the logarithm of a task's work within
    its step, ``declared_error`` the greatest relative error of declared times, and
    ``failed_share`` the share of runs that fail by their own fault. A share
    ``tail_share`` of all tasks takes ``tail_factor`` times as long. A share
    ``second_step_share`` of the jobs has a second, equal step after the first.
    """

    name: str
    priority: int
    arrivals_per_s: float
    mean_tasks: float
    max_tasks: int
    run_duration_s: float
    cores: float
    memory_mb: int
    accelerators: tuple[int, ...]
    gang: bool
    one_rack: float
    checkpoint_share: float
    stretch: float
    slo_s: float
    worth: float
    late_worth: float
    initial_jobs: int
    unevenness: float = 0.0
    declared_error: float | None = None
    failed_share: float = 0.0
    tail_share: float = 0.0
    tail_factor: float = 7.0
    second_step_share: float = 0.0


URGENT = Kind(
    name="urgent",
    priority=0,
    arrivals_per_s=5.5,
    mean_tasks=4.7,
    max_tasks=28,
    run_duration_s=2.5,
    cores=7.5,
    memory_mb=22_000,
    accelerators=(1, 2, 4, 8, 8),
    gang=True,
    one_rack=0.8,
    checkpoint_share=0.0,
    stretch=1.5,
    slo_s=0.25,
    worth=4.0,
    late_worth=0.8,
    initial_jobs=0,
)
HEAVY = Kind(
    name="heavy",
    priority=1,
    arrivals_per_s=1.2,
    mean_tasks=10.0,
    max_tasks=60,
    run_duration_s=11.0,
    cores=26.0,
    memory_mb=75_000,
    accelerators=(1, 2, 4, 8, 8),
    gang=True,
    one_rack=0.6,
    checkpoint_share=0.45,
    stretch=3.0,
    slo_s=1.0,
    worth=3.0,
    late_worth=0.9,
    initial_jobs=23,
)
SMALL = Kind(
    name="small",
    priority=2,
    arrivals_per_s=1.46,
    mean_tasks=30.0,
    max_tasks=180,
    run_duration_s=7.6,
    cores=5.6,
    memory_mb=16_000,
    accelerators=(1,),
    gang=False,
    one_rack=0.0,
    checkpoint_share=0.45,
    stretch=3.0,
    slo_s=3.0,
    worth=1.0,
    late_worth=0.3,
    initial_jobs=27,
)


NARROW_URGENT = dataclasses.replace(
    URGENT, mean_tasks=5.3, max_tasks=32, cores=3.7, memory_mb=9_800
)
NARROW_HEAVY = dataclasses.replace(
    HEAVY,
    arrivals_per_s=1.38,
    mean_tasks=13.0,
    max_tasks=76,
    cores=13.0,
    memory_mb=34_000,
    late_worth=0.3,
    initial_jobs=27,
)
NARROW_SMALL = dataclasses.replace(
    SMALL,
    arrivals_per_s=1.69,
    mean_tasks=38.0,
    max_tasks=230,
    cores=2.8,
    memory_mb=7_400,
    late_worth=0.1,
    initial_jobs=31,
)


UNEVEN_URGENT = dataclasses.replace(
    URGENT,
    arrivals_per_s=2.13,
    mean_tasks=5.4,
    max_tasks=32,
    run_duration_s=2.1,
    memory_mb=39_000,
    unevenness=0.3,
    declared_error=0.9,
    failed_share=0.05,
)
UNEVEN_HEAVY = dataclasses.replace(
    HEAVY,
    arrivals_per_s=0.401,
    mean_tasks=13.0,
    max_tasks=78,
    run_duration_s=9.4,
    memory_mb=140_000,
    late_worth=0.3,
    initial_jobs=16,
    unevenness=0.15,
    declared_error=0.5,
    failed_share=0.05,
)
UNEVEN_SMALL = dataclasses.replace(
    SMALL,
    arrivals_per_s=0.616,
    mean_tasks=39.0,
    max_tasks=230,
    run_duration_s=5.2,
    memory_mb=23_000,
    late_worth=0.1,
    initial_jobs=20,
    unevenness=0.3,
    declared_error=0.2,
    failed_share=0.05,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The workers of a deployment, and the kinds of work that it runs.

    Each worker draws its factor on the run time of tasks from ``slowdowns``. With
    ``weight_by_work`` a job's worth grows with its work. ``organisation_weights`` are
    the organisations' shares of the load, equal if there are none. The arrival rate
    varies by ``rate_variation`` of its mean, as a sine of the time. Workers without
    addresses (``has_addresses``) all seem to restart at the same one; the first days
    keep that, so that their figures remain comparable.
    """

    kinds: tuple[Kind, ...]
    workers: int
    workers_per_rack: int
    capacity: Resources
    organisations: int
    slowdowns: tuple[float, ...] = (1.0,)
    weight_by_work: bool = False
    organisation_weights: tuple[float, ...] = ()
    rate_variation: float = 0.0
    has_addresses: bool = False


WIDE_RACKS = Deployment(
    kinds=(URGENT, HEAVY, SMALL),
    workers=176,
    workers_per_rack=12,
    capacity=Resources(64_000, 262_144, 8),
    organisations=10,
)
NARROW_RACKS = Deployment(
    kinds=(NARROW_URGENT, NARROW_HEAVY, NARROW_SMALL),
    workers=270,
    workers_per_rack=8,
    capacity=Resources(32_000, 65_536, 8),
    organisations=24,
    slowdowns=(1.0, 1.0, 1.3),
    weight_by_work=True,
)


UNEVEN_POOL = Deployment(
    kinds=(UNEVEN_URGENT, UNEVEN_HEAVY, UNEVEN_SMALL),
    workers=176,
    workers_per_rack=20,
    capacity=Resources(64_000, 262_144, 8),
    organisations=10,
    slowdowns=(0.6, 1.0, 1.6),
    weight_by_work=True,
    has_addresses=True,
)

VARIED_URGENT = dataclasses.replace(
    URGENT,
    arrivals_per_s=3.58,
    mean_tasks=5.0,
    max_tasks=32,
    unevenness=0.3,
    declared_error=0.9,
    failed_share=0.05,
)
VARIED_HEAVY = dataclasses.replace(
    HEAVY,
    arrivals_per_s=0.838,
    mean_tasks=13.0,
    max_tasks=78,
    run_duration_s=8.5,
    late_worth=0.3,
    initial_jobs=16,
    unevenness=0.15,
    declared_error=0.5,
    failed_share=0.05,
)
VARIED_SMALL = dataclasses.replace(
    SMALL,
    arrivals_per_s=0.825,
    mean_tasks=39.0,
    max_tasks=230,
    late_worth=0.1,
    initial_jobs=20,
    unevenness=0.3,
    declared_error=0.2,
    failed_share=0.05,
    tail_share=0.03,
    second_step_share=0.3,
)

VARIED_POOL = Deployment(
    kinds=(VARIED_URGENT, VARIED_HEAVY, VARIED_SMALL),
    workers=176,
    workers_per_rack=8,
    capacity=Resources(64_000, 262_144, 8),
    organisations=10,
    slowdowns=(1.0, 1.0, 1.3),
    weight_by_work=True,
    has_addresses=True,
    # Three of the ten have half of the load.
    organisation_weights=(7.0,) * 3 + (3.0,) * 7,
    rate_variation=0.55,
)
