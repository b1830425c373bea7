import subprocess
import sys

from behave import then, when

from standins.site import ROOT

LIMIT_S = 240


@when("the soak plays seed {seed:d} for {seconds:d} s in {domains:d} failure domains")
def play_domains(context, seed, seconds, domains):
    play(context, seed, seconds, domains)


@when("the soak plays seed {seed:d} for {seconds:d} s")
def play(context, seed, seconds, domains=1):
    command = [sys.executable, "-m", "standins.soak"]
    command += [f"--seed={seed}", f"--seconds={seconds}", f"--domains={domains}"]
    context.soak = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=LIMIT_S
    )


@then("no promise was broken")
def check(context):
    assert context.soak.returncode == 0, context.soak.stdout + context.soak.stderr
    assert "0 problems" in context.soak.stdout, context.soak.stdout
