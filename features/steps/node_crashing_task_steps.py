from behave import given, then, when

from features.support.gang_faults import GangPlay

CRASHING = "crashing"


@given(
    "{workers:d} workers, and a job that crashes each worker {after:f} s after its"
    " start"
)
def make_play(context, workers, after):
    context.play = GangPlay(workers)
    context.play.crash_after_s[CRASHING] = after


@when("the job is submitted and {seconds:d} s pass")
def submit(context, seconds):
    async def script(play):
        play.submit(CRASHING, count=1, gang=False)

    context.play.play(script, seconds=seconds)


def list_starts(play, name=CRASHING):
    return [m for m in play.members if m.task.job_id == name]


def read_state(play, name=CRASHING):
    return play.terms[-1][0].core.read_state(name).value


@then('the job is shown as "{state}" after at most {most:d} starts')
def check_given_up(context, state, most):
    starts = [round(m.started_at, 2) for m in list_starts(context.play)]
    shown = read_state(context.play)
    assert (shown, len(starts) <= most) == (state, True), (shown, starts)
