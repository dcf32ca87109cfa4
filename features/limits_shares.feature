Feature: Limits that hold over the fleet
  Scenario Outline: The whole limit is used wherever the load is: <load>
    Given 3 zones of 3 nodes that share <limit>
    When the load is "<load>" for 20 seconds
    Then between <least> and <most> requests a second are admitted in all
    And no loaded node gets less than half of an equal part

    Examples:
      | limit         | load      | least | most |
      | 20 requests/s | one node  | 18.0  | 20.0 |
      | 20 requests/s | one zone  | 18.0  | 20.0 |
      | 20 requests/s | all nodes | 18.0  | 20.0 |
      | 20 requests/s | all nodes, doubled | 18.0 | 20.0 |
      | 9 slots       | one node  | 25.0  | 31.0 |
      | 9 slots       | one zone  | 25.0  | 31.0 |
      | 9 slots       | all nodes | 25.0  | 31.0 |

  Scenario Outline: No loss, doubling, delay or cut lifts the requests above <limit>
    Given 3 zones of 3 nodes that share <limit>
    When 50 schedules of lost, doubled, late and cut messages are tried
    Then no schedule admits more than the rate and one burst

    Examples:
      | limit                      |
      | 20 requests/s              |
      | 20 requests/s and burst 40 |

  Scenario Outline: No loss, doubling, delay or cut lifts the usable slots above <limit>
    Given 3 zones of 3 nodes that share <limit>
    When 50 schedules of lost, doubled, late and cut messages are tried
    Then no schedule has more usable slots than the limit, and one comes within <gap> of it

    Examples:
      | limit    | gap |
      | 9 slots  | 0   |
      | 40 slots | 12  |

  Scenario: The parts of all nodes and zones together are the whole limit
    When limits, zones and sizes of fleet are drawn and every zone gives all it has
    Then the slots given and owned are exactly the limit
    And the requests given and on credit are at most the burst, or one for each zone

  Scenario Outline: After a pause no more than one burst of <burst> comes at once
    Given 3 zones of 3 nodes that share <limit>
    When all nodes are idle for 10 seconds and flooded for 2 seconds
    Then between <least> and <most> requests are admitted in the flood

    Examples: most is the burst and two seconds of the rate
      | limit                      | burst | least | most |
      | 20 requests/s              | 12    | 45    | 52   |
      | 20 requests/s and burst 40 | 40    | 60    | 80   |

  Scenario: A standing part serves a first request without asking
    Given 3 zones of 3 nodes that share 40 slots
    When one node is cut off from all others and gets one request at a time
    Then it goes on admitting them

  Scenario Outline: Nodes that take themselves for homes lift the sum by one zone's part each: <num_alone>
    Given 3 zones of 3 nodes that share 9 slots
    When <num_alone> nodes of one zone lose sight of all others under load
    Then at most <slots> slots are usable at any time
    And the nodes that lost sight still admit requests

    Examples:
      | num_alone | slots |
      | 1         | 12    |
      | 2         | 15    |

  Scenario: A zone that is cut off gives back what it borrowed and goes on with its own part
    Given 3 zones of 3 nodes that share 9 slots
    When one zone is cut off for 20 seconds under load
    Then its nodes hold 3 slots at the end
    And never more than 9 slots are usable in all

  Scenario: Admission tasks share a limit over the peer link
    Given 3 nodes with admission tasks that share 20 requests/s
    When callers flood one of them for 20 seconds
    Then the flooded node admits between 18 and 20 requests a second and one burst
