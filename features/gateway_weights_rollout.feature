Feature: Target weights reach the engines by fenced orders of one node, and outdated weights stop serving

  Scenario Outline: Which engines begin to load
    Given load rules with 2 s per load, a third of the engines at once, loads begun within 6 s and old weights unusable after 7 s
    And <engines> engines of which <loading> are loading
    When engines lag behind the target version for "<ages>" seconds
    Then engines "<chosen>" begin to load

    Examples: engines, loading engines, seconds for which each engine lags, and engines that begin (numbered by age)
      | engines | loading | ages        | chosen  |
      | 6       | 0       |             |         |
      | 6       | 0       | 1,1,1,1,1,1 |         |
      | 6       | 0       | 2,2,2,2,2,2 | 1,2     |
      | 6       | 1       | 2,2,2,2,2,2 | 1       |
      | 6       | 2       | 2,2,2,2,2,2 |         |
      | 6       | 0       | 5,5         |         |
      | 6       | 0       | 6,1         | 1,2     |
      | 6       | 2       | 7,1         | 1       |
      | 6       | 0       | 8,8,8,8     | 1,2,3,4 |
      | 1       | 0       | 6           | 1       |

  Scenario Outline: Engines load at once while too many requests run on older weights
    Given load rules with 2 s per load, a third of the engines at once, loads begun within 6 s and old weights unusable after 7 s
    And 6 engines of which <loading> are loading
    And <suspect> of them have failed recently
    And <new> requests run on the target version, and the last load ended <ago> s ago
    When engines with "<old>" requests lag behind the target version for 0.1 s
    Then engines "<chosen>" begin to load

    Examples: requests at each lagging engine (numbered in this order), and engines that begin
      | loading | suspect | new | ago | old         | chosen |
      | 0       | 0       | 0   | 99  | 0,0,0,0,0,0 |        |
      | 0       | 0       | 0   | 99  | 3,1,2,1,3,3 | 2,4    |
      | 1       | 0       | 0   | 99  | 3,1,2,3,3   | 2      |
      | 2       | 0       | 0   | 99  | 3,1,2,3     |        |
      | 0       | 1       | 0   | 99  | 3,1,2,3     | 2      |
      | 1       | 1       | 0   | 99  | 3,1,2,3     |        |
      | 0       | 0       | 9   | 99  | 1,0,1,0     |        |
      | 0       | 0       | 9   | 99  | 2,0,1,0     | 2,4    |
      | 0       | 0       | 0   | 0.3 | 3,1,2,3     |        |

  Scenario Outline: All engines load a new target version in time, with fault: <fault>
    Given 3 nodes and 6 engines
    When target version 2 is set, with fault "<fault>"
    And 13 seconds pass
    Then every engine has version 2
    And orders of two nodes are at least 3 seconds apart
    And every order has a fencing token no lower than the order before it
    And no two nodes sent orders with the same fencing token

    Examples:
      | fault                               |
      | none                                |
      | holder killed                       |
      | holder killed after its first order |
      | holder cut off from the store       |
      | store outage of 2 s                 |
      | store answers lost                  |
      | half of the store answers lost      |
      | order answers lost                  |
      | orders to one engine 3 s late       |
      | restart of all nodes                |

  Scenario: No request begins on weights that are too old, even if no node sends orders
    Given 3 nodes and 6 engines
    And no node can send orders
    When target version 2 is set, with fault "none"
    And generation requests are sent for 10 seconds
    Then no request began on version 1 later than 8 seconds after the target was set

  Scenario: An engine gets no requests while it loads
    Given 3 nodes and 6 engines
    When target version 2 is set, with fault "none"
    And generation requests are sent for 10 seconds
    Then at most 3 of the requests were refused by an engine
    And each request had the cache scope of the version on which it ran

  Scenario: Engines load new weights although long streams run on them
    Given 3 nodes and 6 engines
    When a stream that lasts for an hour begins on every engine
    And target version 2 is set, with fault "none"
    And 13 seconds pass
    Then every engine has version 2
    And no stream was interrupted

  Scenario: Two target versions set in quick succession cost one load if the time limit allows it
    Given 3 nodes and 6 engines
    When target versions 2 and 3 are set 1 seconds apart
    And 13 seconds pass
    Then every engine has version 3
    And 6 orders were sent

  Scenario: A new holder waits for the deployment's minimum time between orders of two holders
    Given 3 nodes and 6 engines
    And orders of two holders must be 5 seconds apart
    When target version 2 is set, with fault "holder killed after its first order"
    And 18 seconds pass
    Then every engine has version 2
    And orders of two nodes are at least 5 seconds apart

  Scenario: An engine loads one version after the other
    Given 3 nodes and 6 engines
    When target versions 2 and 3 are set 9 seconds apart
    And 13 seconds pass
    Then every engine has version 3
    And 12 orders were sent

  Scenario: A restarted node learns from its peers how old a version is
    Given 3 nodes and 6 engines
    And no node can send orders
    When target version 2 is set, with fault "none"
    And a node restarts 2 seconds later
    Then the node still sends requests to version 1

  Scenario Outline: A node that starts after two target versions were set counts the grace period from the first
    Given <nodes> nodes and 2 engines
    And no node can send orders
    When target versions 2 and 3 are set 4 seconds apart
    And a node restarts 0.5 seconds later and gets generation requests for 10 seconds
    Then no request began on version 1 later than 8 seconds after the first target was set

    Examples:
      | nodes |
      | 1     |
      | 3     |

  Scenario: A holder that stops before it has ordered all begun loads does not delay the next holder
    Given 3 nodes and 6 engines
    When target version 2 is set and the holder stops between the beginning of a load and its order
    And 7 seconds pass
    Then every engine has version 2

  Scenario: The node that registered last takes a duty without a holder
    Given 4 nodes and 2 engines
    When node-3 registers again and the holder of the duty is killed
    And 8 seconds pass
    Then node-3 is the holder of the duty

  Scenario Outline: A node waits for nodes of better rank before it takes a duty, but only briefly
    Then a node of rank <rank> waits <seconds> seconds

    Examples:
      | rank | seconds |
      | 0    | 0       |
      | 1    | 0.25    |
      | 8    | 2.0     |
      | 78   | 5.5     |

  Scenario: Loads that begin together share one renewal of the order fence
    Given a holder that has sent no order yet
    When 3 loads acquire the order fence at once, repeatedly for 5 seconds
    Then each load may send its order
    And the fence record outlives the last order by 3 seconds
