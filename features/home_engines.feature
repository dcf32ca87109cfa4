Feature: Home nodes follow engines and tell the others
  Scenario Outline: All views come to equal the engine's cache after <fault>
    Given 4 home nodes and 2 scripted engines whose casts are lost at a rate of <loss>
    When the engines change for 20 seconds while there is "<fault>"
    And all is quiet for 30 seconds
    Then every node's view equals every engine's cache
    And every engine was dumped between <least> and <most> times
    And every node has heard of every engine's load
    And every engine is followed by one node

    Examples:
      | fault                | loss | least | most |
      | nothing              | 0    | 1     | 1    |
      | nothing              | 0.2  | 1     | 1    |
      | lost batches         | 0    | 1     | 1    |
      | lost batches         | 0.2  | 1     | 1    |
      | a passed window      | 0    | 2     | 9    |
      | a lost last batch    | 0    | 1     | 1    |
      | a crash              | 0    | 1     | 3    |
      | a crash              | 0.2  | 1     | 3    |
      | an engine down       | 0    | 1     | 6    |
      | a home that dies     | 0    | 2     | 2    |
      | a home that leaves   | 0    | 2     | 2    |
      | all nodes replaced   | 0    | 2     | 2    |

  Scenario: Blocks of an engine that cannot be followed are soon not believed
    Given 4 home nodes and 2 scripted engines whose casts are lost at a rate of 0
    When the engines change for 20 seconds while there is "nothing"
    And all engines go down for 12 seconds
    Then no view believes any block

  Scenario: Blocks of an engine whose home cannot be heard are soon not believed
    Given 4 home nodes and 2 scripted engines whose casts are lost at a rate of 0
    When the engines change for 20 seconds while there is "nothing"
    And no digest arrives for 13 seconds
    Then only homes believe any block

  Scenario Outline: Load reports are spread within their byte budget
    Given <nodes> home nodes and 2 scripted engines whose casts are lost at a rate of 0
    When all is quiet for 60 seconds
    Then each other node heard of each engine's load between <least> and <most> times

    Examples:
      | nodes | least | most |
      | 4     | 55    | 62   |
      | 26    | 28    | 31   |

  Scenario: In a large region only the engine's zone hears of it
    Given 40 home nodes and 2 scripted engines whose casts are lost at a rate of 0
    When all is quiet for 10 seconds
    Then exactly the nodes of an engine's zone have heard of its load

  Scenario: A herd of restarts does not flood engines with dumps
    Given 4 home nodes and 40 scripted engines whose casts are lost at a rate of 0
    When all is quiet for 60 seconds
    Then no second had more than 12 dumps and every engine was dumped once

  Scenario: All nodes agree on homes and only a dead node's engines move
    Given 6 home nodes and 40 scripted engines whose casts are lost at a rate of 0
    When all is quiet for 3 seconds
    Then every engine has one home in its zone
    When one node dies and 3 seconds pass
    Then every engine has one home in its zone
    And only the dead node's engines have moved
