Feature: A planner hears of engines that its node does not hear of

  Scenario Outline: A rollout over zones that the planner does not hear of
    Given 3 zones with 3 nodes and 4 engines each, of which 9 must stay ready and 3 may load at once
    When <fault> while v2 rolls out over zones
    Then after <seconds> s every engine serves v2
    And over zones never more than 3 engines loaded at once
    And over zones never fewer than 9 engines were ready
    And every order was for the run and a load that the engine took

    Examples:
      | fault                                              | seconds |
      | nothing fails                                      | 72      |
      | the node that is asked in each zone answers no more | 200     |
      | a third of the messages between nodes is lost      | 240     |
      | another zone is cut off for 120 s                  | 360     |
      | the planner moves to another zone half-way         | 240     |
      | all nodes of another zone crash                    | 180     |

  Scenario: A zone that is cut off gets no order while nothing is heard of it
    Given 3 zones with 3 nodes and 4 engines each, of which 9 must stay ready and 3 may load at once
    When another zone is cut off for 120 s while v2 rolls out over zones
    Then no engine of that zone was ordered from 45 s after the cut until it ended

  Scenario: An engine that hangs in another zone is not ordered once its state is old
    Given 3 zones with 3 nodes and 4 engines each, of which 9 must stay ready and 2 may load at once
    When an engine of another zone hangs while v2 rolls out over zones
    Then after 200 s every engine but the one that hangs serves v2
    And the engine that hangs got no order

  Scenario: Only the node that plans asks, and an answer that has not changed is short
    Given 3 zones with 3 nodes and 4 engines each, of which 9 must stay ready and 3 may load at once
    When the planner has run for 65 s
    Then in the last 50 s each other zone was asked 10 times and the answers had no states
    And no node that does not plan has asked
    And it hears of all engines of other zones while it plans and of none after

  Scenario Outline: The later of two states counts
    Given this node heard run <own_run> of an engine with version <own> <own_age> s ago
    And another node told run <told_run> with version <told> <told_age> s ago
    Then the planner sees version <seen> and the engine is <state>

    Examples:
      | own_run | own | own_age | told_run | told | told_age | seen | state |
      | 1       | v1  | 1       | 1        | v2   | 5        | v1   | up    |
      | 1       | v1  | 6       | 1        | v2   | 5        | v2   | up    |
      | 2       | v1  | 9       | 1        | v2   | 5        | v1   | up    |
      | 1       | v1  | 1       | 2        | v2   | 5        | v2   | up    |
      | 1       | v1  | 40      | 1        | v2   | 30       | v2   | up    |
      | 1       | v1  | 40      | 1        | v2   | 31       | v2   | down  |
      | 1       | v1  | 1       | 2        | v2   | 31       | v2   | down  |
