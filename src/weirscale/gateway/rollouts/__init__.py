"""Rollouts of a service version: the program of a service's back ends, replaced under traffic.

Versions of model weights are another thing (`gateway.weights`). An order names the target version.
A *canary* of few requests goes to it, the verdict on their answers moves all requests there or
returns them, and the rollout ends once no node uses the other versions.

On each node: `view` (what is known), `gate` (which back ends may be chosen), `canary_traffic` with
`allowance` and `pace` (which requests go to the canary, how their answers count), `tallies`,
`reporter` and `barrier` (counts of all nodes). On the holder of the lease: `facts`, `plan`,
`record_writer`, `holder_task`. The rule of the verdict: `verdict`, `exact_test`. Design and
figures: docs/design/0019-version-rollouts.md.
"""
