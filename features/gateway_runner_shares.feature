Feature: Groups of nodes prefer model runners of their own

  Scenario Outline: <nodes> nodes in <zones> zones share <runners> runners out
    Given <nodes> nodes in <zones> zones
    When <runners> runners are shared out among their groups
    Then every group of a zone has as many runners as the others there, or one less
    And every order of the runners gives the same shares
    And when one runner is gone, at most <moved> of the others change hands

    Examples: within one group nobody is preferred
      | nodes | zones | runners | moved |
      | 12    | 3     | 9       | 0     |
      | 79    | 3     | 45      | 8     |
      | 195   | 5     | 59      | 12    |
      | 400   | 18    | 1700    | 200   |

  Scenario Outline: A node <does> when a runner of its own group has <waiting> tokens waiting
    Given 79 nodes in 3 zones of which one chooses between a runner of its group and a foreign one
    When its group's runner has <waiting> tokens waiting
    Then the node <does>

    Examples:
      | waiting | does                   |
      | 0       | chooses its group's    |
      | 1500    | chooses its group's    |
      | 20000   | chooses the foreign one |

  Scenario: What other groups prefer follows the runners and the groups
    Given a node of 79 in 3 zones and 45 runners that it knows
    Then the runners that it takes for foreign are those of other groups
    When a runner is gone and another one comes
    Then the runners that it takes for foreign are those of other groups
