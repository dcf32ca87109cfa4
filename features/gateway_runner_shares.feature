Feature: Groups of nodes prefer the engines that are assigned to them
  Guards against nodes of several groups that send long prompts to the same engine at once, because
  gossip between groups is late.

  Scenario Outline: <engines> engines are assigned to the groups of <nodes> nodes in <zones> zones
    Given <nodes> nodes in <zones> zones
    When <engines> engines are assigned to their groups
    Then the numbers of engines of the groups in a zone differ by at most one
    And shuffled engines get the same assignment
    And when one engine is removed, at most <moved> of the others move to another group

    Examples: with a single group no engine is assigned
      | nodes | zones | engines | moved |
      | 12    | 3     | 9       | 0     |
      | 79    | 3     | 45      | 8     |
      | 195   | 5     | 59      | 12    |
      | 400   | 18    | 1700    | 200   |

  Scenario Outline: A node chooses <chosen> when its group's engine has <waiting> tokens waiting
    Given 79 nodes in 3 zones of which one chooses between an engine of its group and one of another group
    When its group's engine has <waiting> tokens waiting
    Then the node chooses <chosen>

    Examples:
      | waiting | chosen                   |
      | 0       | its group's engine       |
      | 1500    | its group's engine       |
      | 20000   | the other group's engine |

  Scenario: The engines of other groups are updated when the engines change
    Given one of 79 nodes in 3 zones, and 45 registered engines
    Then the node regards the engines of other groups as such
    When an engine is removed and another one is added
    Then the node regards the engines of other groups as such
