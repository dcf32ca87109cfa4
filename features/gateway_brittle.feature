Feature: Back ends that state that they are brittle fall over hardly ever

  # Guards against nodes that ignore how many refusals a second a back end bears.
  Scenario Outline: Brittle back ends are not sent more than they have room for
    Given <nodes> nodes in <zones> zones and <back_ends> back ends of each service that may be brittle
    When after 2 seconds those of "<service>" state that they bear "<refusals>" refusals a second, with room for <room>
    And each node gets a request for "<path>" every <interval_s> seconds for 14 seconds
    Then from 3 seconds after the statement at most 2 of them and a tenth of their number fall over
    And at least <served> in 100 requests are answered

    Examples: room for their four slots and a few more
      | nodes | zones | back_ends | service | refusals | room | path | interval_s | served |
      | 1     | 1     | 4         | lm      | 2        | 6    | /a/1 | 0.005      | 30     |
      | 7     | 4     | 4         | lm      | 2        | 6    | /a/1 | 0.035      | 30     |
      | 7     | 4     | 4         | lm      | 1        | 5    | /f/1 | 0.035      | 30     |
      | 7     | 4     | 4         | orders  | 3        | 6    | /s/1 | 0.008      | 30     |
      | 7     | 4     | 4         | orders  | 3        | 6    | /o/1 | 0.008      | 30     |
      | 24    | 4     | 4         | lm      | 3        | 6    | /a/1 | 0.12       | 30     |

    Examples: room for less than their slots
      | nodes | zones | back_ends | service | refusals | room | path | interval_s | served |
      | 7     | 4     | 4         | lm      | 4        | 3    | /a/1 | 0.07       | 30     |
      | 7     | 4     | 4         | lm      | 0        | 4    | /a/1 | 0.14       | 60     |

  Scenario Outline: A statement is parsed, or logged as unreadable
    Given 1 nodes in 1 zones and 3 back ends of each service that may be brittle
    When after 1 seconds those of "lm" state that they bear "<value>" refusals a second, with room for 9
    And each node gets a request for "/a/1" every 0.1 seconds for 3 seconds
    Then the back ends of "lm" count as brittle <at>, and "<unreadable>" is logged as unreadable

    Examples:
      | value | at        | unreadable |
      | 2     | with 2    | nothing    |
      | 0.5   | with 0.5  | nothing    |
      | 0     | with 0    | nothing    |
      | -1    | not       | -1         |
      | nan   | not       | nan        |
      | 1e3   | not       | 1e3        |
      | few   | not       | few        |

  Scenario: A statement reaches nodes that got no answer, and ends soon after it is not made any more
    Given 3 nodes in 1 zones and 2 back ends of each service that may be brittle
    When "lm-1" states to node-1 alone that it is brittle, for 4 seconds
    Then all nodes know it within a second, and none does 6 seconds after the last statement

  Scenario: A stream that began before the statement does not end it
    Given 1 nodes in 1 zones and 2 back ends of each service that may be brittle
    When an answer without the statement arrives that was asked for before it
    Then the back end is still brittle, until a later answer does without

  Scenario: Callers without a place are refused at once, truthfully, with when to come back
    Given 1 nodes in 1 zones and 2 back ends of each service that may be brittle
    When after 0 seconds those of "lm" state that they bear "1" refusals a second, with room for 4
    And each node gets a request for "/f/1" every 0.01 seconds for 6 seconds
    Then some callers get 503 within 0.05 seconds with a Retry-After of 0.25 and the cause "full"
    And no request that was refused so has run
