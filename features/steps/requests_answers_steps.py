from behave import given, then, when

LONG_DEADLINE_MS = 20_000
"""Deadline of requests whose answers are checked. After a scenario with slow
targets a gateway expects long waits and refuses many requests with a short
deadline, which these scenarios are not about."""


class Callers:
    """Many concurrent callers, each with its own requests."""

    def __init__(self, request_site):
        self.request_site = request_site
        self.exchanges = []

    def ask(self, callers, times, **fields):
        names = [n.split("/")[0] for n in self.request_site.site.list_gateways()]
        requests = [self.request_site.make(**fields) for _ in range(callers * times)]
        sent = [
            (request, self.request_site.send(names[number % len(names)], request))
            for number, request in enumerate(requests)
        ]
        self.exchanges += [(request, answer.result(60)) for request, answer in sent]

    def list_complete(self):
        return [a for _, a in self.exchanges if a.body["outcome"] == "done"]


def find_callers(context):
    if not hasattr(context, "callers"):
        context.callers = Callers(context.request_site)
    return context.callers


@given('one target answers {count:d} requests in mode "{mode}"')
def set_faulty_runs(context, count, mode):
    name = context.request_site.list_targets()[0]
    context.request_site.site.behave(name, mode=mode, faulty_runs=count)


@when("{callers:d} callers send {times:d} idempotent requests each, all at once")
def send_idempotent(context, callers, times):
    find_callers(context).ask(
        callers, times, idempotent=True, deadline_ms=LONG_DEADLINE_MS
    )


@when("{callers:d} callers send {times:d} single-run requests each, all at once")
def send_single_run(context, callers, times):
    find_callers(context).ask(callers, times, deadline_ms=LONG_DEADLINE_MS)


@when("{callers:d} callers send idempotent requests with a short, then a long deadline")
def ask_with_short_deadline(context, callers):
    find_callers(context).ask(callers, 1, idempotent=True, deadline_ms=300)
    find_callers(context).ask(callers, 1, idempotent=True, deadline_ms=LONG_DEADLINE_MS)


@then("every caller got the complete answer to each of its requests, or none")
def check_own_answers(context):
    for request, answer in context.callers.exchanges:
        if answer.body["outcome"] == "done":
            body = answer.body["body"]
            assert body["request"] == request["id"], (request, answer)
            assert body["echo"] == request["body"], (request, answer)
        else:
            assert answer.body["body"] is None, answer


@then("at least {count:d} of the answers are complete")
def check_complete(context, count):
    complete = context.callers.list_complete()
    others = [
        a.body for _, a in context.callers.exchanges if a.body["outcome"] != "done"
    ]
    assert len(complete) >= count, (len(complete), others[:3])


@then("no request ran twice")
def check_single_runs(context):
    runs = [
        context.request_site.count(request["id"])
        for request, _ in context.callers.exchanges
    ]
    assert max(runs) <= 1, runs
