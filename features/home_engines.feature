Feature: Home nodes follow engines and send digests and load reports to other nodes

  Guards against views that differ from an engine's cache after lost messages, crashes or a change of
  the home node, against engines flooded with dumps, and against load reports beyond their byte budget.

  Scenario Outline: All views become equal to the engine's cache after <fault>
    Given 4 home nodes and 2 scripted engines whose casts are lost at a rate of <loss>
    When the caches change for 20 seconds with "<fault>"
    And nothing changes for 30 seconds
    Then every node's view equals every engine's cache
    And every engine was dumped between <least> and <most> times
    And every node has received every engine's load report
    And every engine is followed by one node

    Examples:
      | fault                     | loss | least | most |
      | no fault                  | 0    | 1     | 1    |
      | no fault                  | 0.2  | 1     | 1    |
      | lost batches              | 0    | 1     | 1    |
      | lost batches              | 0.2  | 1     | 1    |
      | an exceeded replay window | 0    | 2     | 9    |
      | a lost last batch         | 0    | 1     | 1    |
      | a crash                   | 0    | 1     | 3    |
      | a crash                   | 0.2  | 1     | 3    |
      | an engine down            | 0    | 1     | 6    |
      | a home that stops         | 0    | 2     | 2    |
      | a home that leaves        | 0    | 2     | 2    |
      | all nodes replaced        | 0    | 2     | 2    |

  Scenario: Blocks of an engine that cannot be followed are soon removed from the views
    Given 4 home nodes and 2 scripted engines whose casts are lost at a rate of 0
    When the caches change for 20 seconds with "no fault"
    And all engines are down for 12 seconds
    Then no view holds any block

  Scenario: Blocks of an engine whose home node is unreachable are soon removed from the views
    Given 4 home nodes and 2 scripted engines whose casts are lost at a rate of 0
    When the caches change for 20 seconds with "no fault"
    And no digest arrives for 13 seconds
    Then only the views of home nodes hold any block

  Scenario Outline: Load reports are distributed within their byte budget
    Given <nodes> home nodes and 2 scripted engines whose casts are lost at a rate of 0
    When nothing changes for 60 seconds
    Then each other node received each engine's load report between <least> and <most> times

    Examples:
      | nodes | least | most |
      | 4     | 55    | 62   |
      | 26    | 28    | 31   |

  Scenario: In a large region only the engine's zone receives its load reports
    Given 40 home nodes and 2 scripted engines whose casts are lost at a rate of 0
    When nothing changes for 10 seconds
    Then exactly the nodes of an engine's zone have received its load report

  Scenario: A simultaneous start of all nodes does not flood engines with dump requests
    Given 4 home nodes and 40 scripted engines whose casts are lost at a rate of 0
    When nothing changes for 60 seconds
    Then no second had more than 12 dumps and every engine was dumped once

  Scenario: All nodes agree on home nodes and only a stopped node's engines move
    Given 6 home nodes and 40 scripted engines whose casts are lost at a rate of 0
    When nothing changes for 3 seconds
    Then every engine has one home node in its zone
    When one node stops and 3 seconds pass
    Then every engine has one home node in its zone
    And only the stopped node's engines have moved
