Feature: Rules of the request limits that back ends state

  Scenario Outline: Which statement of a run counts
    Given a node that knows of a limit of 1.1, stated 5 seconds ago
    When <what>
    Then the limit is <limit>

    Examples: its own answers
      | what                                                   | limit |
      | an answer states 2                                     | 2     |
      | a success names none, asked for 1 seconds ago          | none  |
      | a success names none, asked for 5 seconds ago          | 1.1   |
      | a success names none, asked for 9 seconds ago          | 1.1   |
      | an answer states 1000000                               | none  |

    Examples: other nodes' words
      | what                                                   | limit |
      | a peer tells of 2, stated 1 seconds ago                | 2     |
      | a peer tells of 2, stated 6 seconds ago                | 1.1   |
      | a peer tells of none, stated 1 seconds ago             | none  |
      | a peer tells of none, stated 4.5 seconds ago           | 1.1   |
      | a peer tells of none, stated 6 seconds ago             | 1.1   |

  Scenario: What other nodes tell of a run without a limit is nothing new
    Given a node that knows of no limit
    When a peer tells of none, stated 1 seconds ago
    Then nothing is remembered

  Scenario: The memory of limits is bounded
    Given a node that knows of no limit
    When 5000 runs state limits
    Then 4096 of them are remembered

  Scenario Outline: The bound holds and the limit is used at every size
    Given <num> nodes that keep a limit of <limit>, told one another without the network
    When callers ask them for <seconds> seconds, <asked_per_s> times a second, <where>
    Then in any 4 seconds at most <most> requests are sent
    And from 5 seconds on <share> of what the limit and the callers allow is sent, or more

    Examples: the bound is that of the promise; the share, what is worth asking for
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

  Scenario Outline: After a quiet time no more is sent at once than at any time
    Given <num> nodes that keep a limit of <limit>, told one another without the network
    When nobody asks them for 60 seconds
    And callers ask them for 20 seconds, <asked_per_s> times a second, evenly
    Then in any 4 seconds at most <most> requests are sent

    Examples: where limit and nodes are as many, each node may begin to send without a permit
      | num | limit | asked_per_s | most |
      | 7   | 1.1   | 32          | 11   |
      | 7   | 7     | 100         | 47   |
      | 64  | 64    | 600         | 389  |
      | 64  | 63    | 600         | 383  |

  Scenario: Permits that are not used do not gather
    Given 64 nodes that keep a limit of 1.1, told one another without the network
    When callers of all nodes want permits for 60 seconds and do not use them
    And all nodes send as many requests as they may
    Then in any 4 seconds at most 11 requests are sent

  Scenario Outline: Lost messages lose permits and add none
    Given <num> nodes that keep a limit of 1.1, told one another without the network
    When a third of their messages is lost, and callers ask them 32 times a second for 40 seconds
    Then in any 4 seconds at most 11 requests are sent

    Examples:
      | num |
      | 7   |
      | 64  |
