"""Steps that call the command line in this process and check its output."""

from __future__ import annotations

import json

from behave import then, when

from nettledeal.standins.scenario import make_configuration
from tests.system.command_line_support import Ended, call


@when('the operator calls "{text}"')
def operator_calls(context, text):
    context.result = call(context, text)


@then('it ends with {status:d} and prints "{text}"')
def prints(context, status, text):
    assert context.result.returncode == status, context.result
    assert text in context.result.stdout, context.result


@then("it ends with {status:d} and prints nothing")
def prints_nothing(context, status):
    assert context.result == Ended(status, "", ""), context.result


@then("it ends with {status:d} and prints configuration {number:d}")
def prints_configuration(context, status, number):
    assert context.result.returncode == status, context.result
    assert json.loads(context.result.stdout) == json.loads(make_configuration(number))


@then('it ends with {status:d} and one line that names "{text}"')
def one_line(context, status, text):
    assert context.result.returncode == status, context.result
    lines = context.result.stderr.strip().splitlines()
    assert len(lines) == 1 and text in lines[0], lines


@then("it ends with {status:d} and a line that names the damage")
def names_damage(context, status):
    assert context.result.returncode == status, context.result
    assert "nettledeal: " in context.result.stderr, context.result
