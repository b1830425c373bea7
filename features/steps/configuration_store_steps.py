import base64
import concurrent.futures
import http.client
import itertools
import json

from behave import given, then, when

from standins.site import Layout, Site, call


def encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def write_all(address: str, writer: int, count: int) -> list[tuple[str, str]]:
    """Write keys in sequence; return each with the revision in its response."""
    written = []
    for number in range(count):
        key = encode(f"key/{writer}/{number}")
        body = {"success": [{"request_put": {"key": key, "value": encode("x")}}]}
        answer = call(address, "POST", "/v3/kv/txn", body)[1]
        written.append((key, answer["header"]["revision"]))
    return written


@given("a stand-in store alone")
def start_store(context):
    context.site = Site(Layout())
    context.add_cleanup(context.site.stop)
    context.site.start_store()


@given("{count:d} processes watch the stand-in store")
def watch_store(context, count):
    host, _, port = context.site.addresses["store"].rpartition(":")
    create = {"key": encode("key/"), "range_end": encode("key0"), "start_revision": "1"}
    body = json.dumps({"create_request": create})
    for _ in range(count):
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request("POST", "/v3/watch", body=body)
        connection.getresponse()
        context.add_cleanup(connection.close)


@when("{writers:d} writers make {count:d} writes each at once")
def write_at_once(context, writers, count):
    address = context.site.addresses["store"]
    with concurrent.futures.ThreadPoolExecutor(writers) as pool:
        calls = [pool.submit(write_all, address, n, count) for n in range(writers)]
        results = [c.result() for c in calls]
    context.written = dict(itertools.chain.from_iterable(results))


@then("every response has the revision at which its key was written")
def check_revisions(context):
    body = {"key": encode("key/"), "range_end": encode("key0")}
    address = context.site.addresses["store"]
    found = call(address, "POST", "/v3/kv/range", body)[1]["kvs"]
    stored = {kv["key"]: kv["mod_revision"] for kv in found}
    wrong = {k: (r, stored[k]) for k, r in context.written.items() if r != stored[k]}
    assert not wrong, f"{len(wrong)} of {len(stored)}: {sorted(wrong.values())[:5]}"
