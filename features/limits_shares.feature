Feature: Tenant limits hold across the fleet
  Guards against nodes that together admit more than a tenant's limit when messages are lost,
  duplicated, late or cut, and against a part of the limit that stays unused where the load is.

  Scenario Outline: The whole limit is usable wherever the load is: <load>
    Given 3 zones of 3 nodes that share <limit>
    When the load is "<load>" for 20 seconds
    Then between <least> and <most> requests a second are admitted in all
    And no loaded node gets less than half of an equal part

    Examples:
      | limit         | load                           | least | most |
      | 20 requests/s | one node                       | 18.0  | 20.0 |
      | 20 requests/s | one zone                       | 18.0  | 20.0 |
      | 20 requests/s | all nodes                      | 18.0  | 20.0 |
      | 20 requests/s | all nodes, duplicated messages | 18.0  | 20.0 |
      | 9 slots       | one node                       | 25.0  | 31.0 |
      | 9 slots       | one zone                       | 25.0  | 31.0 |
      | 9 slots       | all nodes                      | 25.0  | 31.0 |

  Scenario Outline: Lost, duplicated, late and cut messages never admit more requests than <limit>
    Given 3 zones of 3 nodes that share <limit>
    When 50 schedules of lost, duplicated, late and cut messages are run
    Then no schedule admits more than the rate and one burst

    Examples:
      | limit                      |
      | 20 requests/s              |
      | 20 requests/s and burst 40 |

  Scenario Outline: Lost, duplicated, late and cut messages never make more slots usable than <limit>
    Given 3 zones of 3 nodes that share <limit>
    When 50 schedules of lost, duplicated, late and cut messages are run
    Then no schedule has more usable slots than the limit, and one comes within <gap> of it

    Examples:
      | limit    | gap |
      | 9 slots  | 0   |
      | 40 slots | 12  |

  Scenario: The parts of all nodes and zones add up to the whole limit
    When limits, zones and fleet sizes are drawn at random and every zone grants all it has
    Then the slots granted and owned are exactly the limit
    And the requests granted and on credit are at most the burst, or one for each zone

  Scenario Outline: After an idle time no more than one burst of <burst> is admitted at once
    Given 3 zones of 3 nodes that share <limit>
    When all nodes are idle for 10 seconds and flooded for 2 seconds
    Then between <least> and <most> requests are admitted in the flood

    Examples: `most` is the burst and two seconds of the rate
      | limit                      | burst | least | most |
      | 20 requests/s              | 12    | 45    | 52   |
      | 20 requests/s and burst 40 | 40    | 60    | 80   |

  Scenario: A standing part admits a first request without a grant
    Given 3 zones of 3 nodes that share 40 slots
    When one node is cut off from all others and gets one request at a time
    Then the node continues to admit them

  Scenario Outline: Each node that considers itself the home raises the sum by one zone's part: <num_alone>
    Given 3 zones of 3 nodes that share 9 slots
    When <num_alone> nodes of one zone lose contact with all others under load
    Then at most <slots> slots are usable at any time
    And the nodes that lost contact still admit requests

    Examples:
      | num_alone | slots |
      | 1         | 12    |
      | 2         | 15    |

  Scenario: A zone that is cut off gives back what it borrowed and continues with its own part
    Given 3 zones of 3 nodes that share 9 slots
    When one zone is cut off for 20 seconds under load
    Then its nodes hold 3 slots at the end
    And never more than 9 slots are usable in all

  Scenario: Admission tasks share a limit through the peer link
    Given 3 nodes with admission tasks that share 20 requests/s
    When callers flood one of the nodes for 20 seconds
    Then the flooded node admits between 18 and 20 requests a second and one burst
