"""Steps written as coroutines, run on what their scenario is about."""

from behave import when


def async_when(phrase, run):
    """Register `async def step(context, subject, **arguments)` as a when step.

    `run(context, script)` makes the subject (a fleet, a pair of nodes) and runs `script(subject)`.
    """

    def register(function):
        @when(phrase)
        def step(context, **arguments):
            run(context, lambda subject: function(context, subject, **arguments))

        return function

    return register
