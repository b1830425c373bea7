"""The settings of the client commands."""

from ..utils.settings import (
    Setting,
    check_address,
    check_choice,
    check_integer,
    check_labels,
    check_number,
    check_optional,
    check_text,
)

CLIENT_SETTINGS = (
    Setting("gateway", check_address, "ip:port of a gateway's HTTP", "127.0.0.1:8080"),
    Setting("format", check_choice("text", "json"), "form of the output", "text"),
    Setting("operator_token", check_optional, "token for operators", "", secret=True),
)

URGENCY = check_choice("urgent", "normal", "overnight")

REQUEST_SETTINGS = (
    *CLIENT_SETTINGS,
    Setting("organisation", check_text, "organisation that asks"),
    Setting("deadline_ms", check_integer(1, 600_000), "time for the answer", "5000"),
    Setting("urgency", URGENCY, "urgent, normal or overnight", "normal"),
    Setting("idempotent", check_optional, "may run more than once", "", switch=True),
    Setting("id", check_optional, "id; a ticket is fetched if none is given", ""),
    Setting("labels", check_labels, "name=value,... that rules match", ""),
)

SUBMIT_SETTINGS = (
    *CLIENT_SETTINGS,
    Setting("id", check_optional, "id of the job", ""),
    Setting("organisation", check_optional, "organisation of the job", ""),
    Setting("members", check_integer(1, 1024), "tasks of the gang", "1"),
    Setting("accelerators", check_integer(0, 1024), "accelerators a member", "1"),
    Setting(
        "adjacency", check_choice("worker", "rack", "domain"), "lie within", "rack"
    ),
    Setting("run_time_s", check_number(0.001, 1e7), "declared run time, s", "3600"),
    Setting("urgency", URGENCY, "urgent, normal or overnight", "overnight"),
    Setting("labels", check_labels, "name=value,... that rules match", ""),
    Setting("wait", check_optional, "follow the job to its end", "", switch=True),
)

JOBS_SETTINGS = (
    *CLIENT_SETTINGS,
    Setting("organisation", check_optional, "only of this organisation", ""),
    Setting("state", check_optional, "only in this state", ""),
)

CONFIG_SETTINGS = (
    *CLIENT_SETTINGS,
    Setting("dry_run", check_optional, "change nothing", "", switch=True),
    Setting(
        "expected_revision",
        check_optional,
        "revision the changes build on; the one in force if not given",
        "",
    ),
)

CHECK_SETTINGS = (
    Setting("workers", check_optional, "JSON file of the VM list's workers", ""),
)
