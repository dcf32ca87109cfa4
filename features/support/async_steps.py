"""Registers coroutines as steps; each is run with the subject of its scenario."""

from behave import when


def async_when(phrase, run):
    """Register `async def step(context, subject, **arguments)` as a when step.

    `run(context, script)` creates the subject, such as a fleet, and runs `script(subject)`.
    """

    def register(function):
        @when(phrase)
        def step(context, **arguments):
            run(context, lambda subject: function(context, subject, **arguments))

        return function

    return register
