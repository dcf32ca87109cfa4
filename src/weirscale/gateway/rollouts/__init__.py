"""Rollouts of a service version: the software of a service's back ends is replaced under traffic.

Versions of model weights are rolled out separately (`gateway.weights`). An operator's order names
the target version. A small share of the requests, the *canary*, goes to the target. The verdict on
their answers either moves all requests to the target or rolls back to the older versions. The
rollout ends once no node uses the other versions any more.

On each node: `view` (state of each rollout as this node knows it), `gate` (which back ends may be
chosen), `canary_traffic` with `allowance` and `pace` (which requests go to the canary, and how
their answers count), `alarms` (this node's own verdict), and `tallies`, `reporter` and `barrier`
(counts of all nodes). On the lease holder: `facts`, `plan`, `record_writer`, `holder_task`. The
statistics of the verdict: `verdict`, `exact_test`. Design and figures:
docs/design/0019-version-rollouts.md.
"""
