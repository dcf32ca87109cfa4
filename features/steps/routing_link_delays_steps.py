import msgspec
from behave import given, then, when

from features.support.deployments import small_deployment
from weirscale.domain.configuration.model import Region
from weirscale.node.interfaces import ConfigurationInForce
from weirscale.node.link_delays import (
    OTHER_REGION_DELAY_S,
    SAME_REGION_DELAY_S,
    SAME_ZONE_DELAY_S,
    LinkDelays,
)

DELAYS_S = {
    "the same zone": SAME_ZONE_DELAY_S,
    "the same region": SAME_REGION_DELAY_S,
    "another region": OTHER_REGION_DELAY_S,
}


class FixedConfiguration:
    def __init__(self, in_force):
        self._in_force = in_force

    def current(self):
        return self._in_force


@given('the regions "{regions}"')
def step_regions(context, regions):
    in_force = None
    if regions != "none":
        declared = tuple(
            Region(f"region-{number}", tuple(zones.split(",")))
            for number, zones in enumerate(regions.split(";"))
        )
        deployment = msgspec.structs.replace(small_deployment("delays"), regions=declared)
        in_force = ConfigurationInForce(1, deployment)
    context.configuration = FixedConfiguration(in_force)


@when('a node of zone "{own}" reads the delay to "{zone}"')
def step_read_delay(context, own, zone):
    context.delay_s = LinkDelays(context.configuration, own).delay_s(zone)


@then("the delay is the one for {relation}")
def step_delay(context, relation):
    assert context.delay_s == DELAYS_S[relation], context.delay_s
    assert len(set(DELAYS_S.values())) == len(DELAYS_S)
