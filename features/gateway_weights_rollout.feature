Feature: Named weights reach the runners by fenced orders of one node, and old ones stop serving

  Scenario Outline: Which runners load now
    Given a rollout rule of 2 s a load, a third at once, a target of 6 s and urgency from 7 s
    And <runners> runners of which <loading> load
    When runners are owed since "<ages>" seconds
    Then "<chosen>" begin to load

    Examples: runners, loading, seconds since each was owed, and who begins (numbered by age)
      | runners | loading | ages        | chosen  |
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

  Scenario Outline: Runners load at once as long as requests run on older weights
    Given a rollout rule of 2 s a load, a third at once, a target of 6 s and urgency from 7 s
    And 6 runners of which <loading> load
    And <suspect> of them have failed lately
    And <new> requests run on the newest weights, and the last load ended <ago> s ago
    When runners with "<old>" requests are owed since 0.1 s
    Then "<chosen>" begin to load

    Examples: requests at each runner that lags (numbered in this order), and who begins
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

  Scenario Outline: All runners take a new version in time, whatever <fault>
    Given 3 nodes and 6 runners
    When version 2 is named and there is "<fault>"
    And 13 seconds pass
    Then every runner has version 2
    And orders of two nodes lie 3 seconds apart or more
    And every order carried a fencing token no lower than the one before
    And no two nodes gave orders with one token

    Examples:
      | fault                    |
      | nothing else             |
      | a killed holder          |
      | a holder killed at work  |
      | a holder cut off         |
      | an outage of 2 s         |
      | lost store answers       |
      | half the answers lost    |
      | lost order answers       |
      | orders 3 s late          |
      | a restart of all nodes   |

  Scenario: No request starts on weights that are too old, whoever gives orders
    Given 3 nodes and 6 runners
    And nobody can give orders
    When version 2 is named and there is "nothing else"
    And generations are sent for 10 seconds
    Then no run began on version 1 later than 8 seconds after the naming

  Scenario: A runner that loads gets no requests meanwhile
    Given 3 nodes and 6 runners
    When version 2 is named and there is "nothing else"
    And generations are sent for 10 seconds
    Then at most 3 of them were refused by a runner
    And each run was over the scope of its own version

  Scenario: Runners take new weights although long streams run there
    Given 3 nodes and 6 runners
    When a stream that lasts for an hour begins at every runner
    And version 2 is named and there is "nothing else"
    And 13 seconds pass
    Then every runner has version 2
    And no stream was broken off

  Scenario: Two versions named in a row cost one load where the bound allows
    Given 3 nodes and 6 runners
    When versions 2 and 3 are named 1 second apart
    And 13 seconds pass
    Then every runner has version 3
    And 6 orders were given

  Scenario: A new holder waits as long as the deployment asks between two holders' orders
    Given 3 nodes and 6 runners
    And orders of two holders must lie 5 seconds apart
    When version 2 is named and there is "a holder killed at work"
    And 18 seconds pass
    Then every runner has version 2
    And orders of two nodes lie 5 seconds apart or more

  Scenario: A runner takes one version after the other
    Given 3 nodes and 6 runners
    When versions 2 and 3 are named 9 second apart
    And 13 seconds pass
    Then every runner has version 3
    And 12 orders were given

  Scenario: A restarted node learns from its peers how old a version is
    Given 3 nodes and 6 runners
    And nobody can give orders
    When version 2 is named and there is "nothing else"
    And a node starts anew 2 seconds later
    Then it still sends requests to version 1

  Scenario Outline: A node that starts after two namings reckons with the first one
    Given <nodes> nodes and 2 runners
    And nobody can give orders
    When versions 2 and 3 are named 4 second apart
    And a node starts anew 0.5 seconds later and is sent generations for 10 seconds
    Then no run began on version 1 later than 8 seconds after the first naming

    Examples:
      | nodes |
      | 1     |
      | 3     |

  Scenario: A holder that stops with loads to order does not keep the next one waiting
    Given 3 nodes and 6 runners
    When version 2 is named and the holder stops between a load's beginning and its order
    And 7 seconds pass
    Then every runner has version 2

  Scenario: The node that registered last takes a free duty
    Given 4 nodes and 2 runners
    When the holder of the duty is killed and node-3 registers anew
    And 8 seconds pass
    Then node-3 holds the duty

  Scenario Outline: A node leaves a free duty to those before it, but never for long
    Then a node of rank <rank> waits <seconds> seconds

    Examples:
      | rank | seconds |
      | 0    | 0       |
      | 1    | 0.25    |
      | 8    | 2.0     |
      | 78   | 5.5     |

  Scenario: Loads that begin together share one turn of orders
    Given a holder that has given no order yet
    When 3 loads ask for the turn at once, again and again for 5 seconds
    Then each of them may give its order
    And the record of the turn outlives the last order by 3 seconds
