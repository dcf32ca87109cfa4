Feature: A planner learns the states of engines that its own node does not observe
  Guards against a planner that orders loads by missing or old states of engines in other zones, and
  against nodes that query one another without need.

  Scenario Outline: A rollout across zones that the planner's node does not observe
    Given 3 zones with 3 nodes and 4 engines each, of which 9 must stay ready and 3 may load at once
    When <fault> while v2 rolls out over zones
    Then after <seconds> s every engine serves v2
    And over zones never more than 3 engines loaded at once
    And over zones never fewer than 9 engines were ready
    And every order was a load for the engine's current run

    Examples:
      | fault                                         | seconds |
      | nothing fails                                 | 72      |
      | the queried node of each zone stops answering | 200     |
      | a third of the messages between nodes is lost | 240     |
      | another zone is cut off for 120 s             | 360     |
      | the planner moves to another zone halfway     | 240     |
      | all nodes of another zone crash               | 180     |

  Scenario: A zone that is cut off gets no order while its states are unknown
    Given 3 zones with 3 nodes and 4 engines each, of which 9 must stay ready and 3 may load at once
    When another zone is cut off for 120 s while v2 rolls out over zones
    Then no engine of that zone was ordered from 45 s after the cut until it ended

  Scenario: An engine that hangs in another zone gets no order once its state is stale
    Given 3 zones with 3 nodes and 4 engines each, of which 9 must stay ready and 2 may load at once
    When an engine of another zone hangs while v2 rolls out over zones
    Then after 200 s every engine but the one that hangs serves v2
    And the engine that hangs got no order

  Scenario: Only the planning node queries others, and an unchanged answer is short
    Given 3 zones with 3 nodes and 4 engines each, of which 9 must stay ready and 3 may load at once
    When the planner has run for 65 s
    Then in the last 50 s each other zone was queried 10 times and the answers had no states
    And no other node sent a query
    And the planner has states of all engines of other zones while it plans and of none after

  Scenario Outline: The later of two states is used
    Given this node observed run <own_run> of an engine with version <own> <own_age> s ago
    And another node reported run <reported_run> with version <reported> <reported_age> s ago
    Then the planner sees version <seen> and the engine is <state>

    Examples:
      | own_run | own | own_age | reported_run | reported | reported_age | seen | state |
      | 1       | v1  | 1       | 1            | v2       | 5            | v1   | up    |
      | 1       | v1  | 6       | 1            | v2       | 5            | v2   | up    |
      | 2       | v1  | 9       | 1            | v2       | 5            | v1   | up    |
      | 1       | v1  | 1       | 2            | v2       | 5            | v2   | up    |
      | 1       | v1  | 40      | 1            | v2       | 30           | v2   | up    |
      | 1       | v1  | 40      | 1            | v2       | 31           | v2   | down  |
      | 1       | v1  | 1       | 2            | v2       | 31           | v2   | down  |
