Feature: Rules of the request limits that back ends state

  Scenario Outline: The latest statement of a run applies
    Given a node that received a limit of 1.1, stated 5 seconds ago
    When <statement>
    Then the limit is <limit>

    Examples: answers to this node
      | statement                                              | limit |
      | an answer states 2                                     | 2     |
      | a success without a limit, requested 1 seconds ago     | none  |
      | a success without a limit, requested 5 seconds ago     | 1.1   |
      | a success without a limit, requested 9 seconds ago     | 1.1   |
      | an answer states 1000000                               | none  |

    Examples: statements from other nodes
      | statement                                              | limit |
      | a peer reports a limit of 2, stated 1 seconds ago      | 2     |
      | a peer reports a limit of 2, stated 6 seconds ago      | 1.1   |
      | a peer reports a limit of none, stated 1 seconds ago   | none  |
      | a peer reports a limit of none, stated 4.5 seconds ago | 1.1   |
      | a peer reports a limit of none, stated 6 seconds ago   | 1.1   |

  Scenario: A report of no limit is not stored for a run without a limit
    Given a node that received no limit
    When a peer reports a limit of none, stated 1 seconds ago
    Then no statement is stored

  Scenario: The number of stored limits is bounded
    Given a node that received no limit
    When 5000 runs state limits
    Then the latest 4096 statements are stored

  Scenario Outline: The bound holds and the limit is used at every fleet size
    Given <num> nodes that enforce a limit of <limit>, without a network
    When callers send <asked_per_s> requests a second for <seconds> seconds, <where>
    Then in any 4 seconds at most <most> requests are sent
    And from 5 seconds on at least <share> of the limit, or of a lower request rate, is sent

    Examples: the bound is the guaranteed one; the share is the least that is useful
      | num | limit | asked_per_s | where       | seconds | most | share |
      | 1   | 0.3   | 5           | evenly      | 60      | 6    | 0.6   |
      | 7   | 0.3   | 32          | evenly      | 60      | 6    | 0.6   |
      | 7   | 1.1   | 32          | evenly      | 60      | 11   | 0.6   |
      | 7   | 1.1   | 4           | at one node | 60      | 11   | 0.6   |
      | 7   | 10    | 32          | evenly      | 60      | 65   | 0.6   |
      | 64  | 0.3   | 40          | evenly      | 60      | 6    | 0.5   |
      | 64  | 1.1   | 40          | evenly      | 60      | 11   | 0.5   |
      | 64  | 1.1   | 4           | at one node | 60      | 11   | 0.6   |
      | 64  | 100   | 4           | evenly      | 60      | 605  | 0.6   |
      | 195 | 1.1   | 120         | evenly      | 40      | 11   | 0.5   |
      | 400 | 0.3   | 1200        | evenly      | 40      | 6    | 0.5   |
      | 400 | 1.1   | 1200        | evenly      | 40      | 11   | 0.5   |
      | 400 | 1.1   | 4           | at one node | 40      | 11   | 0.6   |

  Scenario Outline: After a time without requests the same bound holds
    Given <num> nodes that enforce a limit of <limit>, without a network
    When callers send no requests for 60 seconds
    And callers send <asked_per_s> requests a second for 20 seconds, evenly
    Then in any 4 seconds at most <most> requests are sent

    Examples: if the limit is as high as the number of nodes, each node may send some requests without a permit
      | num | limit | asked_per_s | most |
      | 7   | 1.1   | 32          | 11   |
      | 7   | 7     | 100         | 47   |
      | 64  | 64    | 600         | 389  |
      | 64  | 63    | 600         | 383  |

  Scenario: Unused permits do not accumulate
    Given 64 nodes that enforce a limit of 1.1, without a network
    When all nodes fetch permits for 60 seconds and do not use them
    And all nodes send as many requests as they may
    Then in any 4 seconds at most 11 requests are sent

  Scenario Outline: Lost messages lose permits and add none
    Given <num> nodes that enforce a limit of 1.1, without a network
    When a third of the messages is lost, and callers send 32 requests a second for 40 seconds
    Then in any 4 seconds at most 11 requests are sent

    Examples:
      | num |
      | 7   |
      | 64  |
