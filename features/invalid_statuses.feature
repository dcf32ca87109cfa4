Feature: An answer whose status is none of HTTP is no answer

  # Guards against a caller that gets a back end's bytes with a status that is none as its answer (MIXED).
  Scenario Outline: A back end answers with the status <status> to <kind> request
    Given a node on real sockets before a back end that answers with the status "<status>", and a sound one
    When a caller sends <kind> request that goes to the first one
    Then the caller gets <answer>
    And the back end has received it once

    Examples: a request that may run once only is answered as one that may have run
      | status | kind        | answer                    |
      | 000    | an order    | 502 without a signature   |
      | 099    | an order    | 502 without a signature   |
      | 101    | an order    | 502 without a signature   |
      | 600    | an order    | 502 without a signature   |
      | 999    | an order    | 502 without a signature   |
      | 2000   | an order    | 502 without a signature   |
      | 20     | an order    | 502 without a signature   |
      | -200   | an order    | 502 without a signature   |
      | 000    | a status    | the sound back end's answer |
      | 600    | a status    | the sound back end's answer |
      | 000    | a stream    | 502 without a signature   |
      | 600    | a stream    | 502 without a signature   |
      | 599    | an order    | 599 with its signature    |

  Scenario Outline: Calls of the gateway itself count the status <status> as no answer
    Given a server that answers with the status "<status>"
    When the gateway makes each of its calls to it
    Then all of them have failed

    Examples:
      | status |
      | 000    |
      | 600    |

  Scenario Outline: The older node passes no status on that is none: <status>
    Given a server that answers with the status "<status>"
    When the older node sends a request to it
    Then the request has failed

    Examples:
      | status |
      | 000    |
      | 600    |
