Feature: What nodes know, and ask each other, about the origins of streams

  Scenario: A lookup whose first datagrams are lost is answered in a later round
    Given a node whose first 8 datagrams are lost, and 8 others that know an origin
    When it looks the origin up
    Then it is found

  Scenario: Lookups of unknown ids are bounded
    Given a node whose queries get no reply
    When 300 lookups begin at once
    Then 256 of them send datagrams, and the others end at once

  Scenario: Ended lookups make room for others
    Given a node whose queries get no reply
    When 300 lookups follow one another
    Then 300 of them send datagrams, and the others end at once

  Scenario Outline: An origin is known for as long as callers may take its stream up
    Given an origin that a node has stored
    When <seconds> seconds have passed
    Then the node knows it: <known>

    Examples:
      | seconds | known |
      | 60      | yes   |
      | 119     | yes   |
      | 121     | no    |

  Scenario: The same id of two tenants names two streams
    Given a stream of the tenant "t1" with the id "try-1"
    Then it has another key than the stream of the tenant "t2" with this id
    And it has the same key as the stream of the tenant "t1" with this id

  Scenario Outline: A service with a single version proves the origin only where the route leads there alone
    Given a take-up on a route to <num> services, each of which has had a single version
    When its origin is looked up
    Then the stream may go on: <answer>

    Examples:
      | num | answer |
      | 1   | yes    |
      | 2   | no     |

  Scenario Outline: A try takes a stream up if it names the try that began it or the last event
    Given a try on a resumable route that names "<names>"
    Then it takes a stream up: <answer>

    Examples:
      | names          | answer |
      | nothing        | no     |
      | the first try  | yes    |
      | the last event | yes    |
      | both           | yes    |
