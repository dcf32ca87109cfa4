Feature: An answer that ends with its connection is whole if its run answers something sent later

  Scenario: Answers of one run that end together share their probes
    Given a run whose health checks are answered after 0.03 seconds
    When 40 answers of it end within 0.01 seconds
    Then all of them are whole, after at most 3 health checks

  Scenario: A probe that was sent before the end of an answer proves nothing about it
    Given a run whose health checks are answered after 0.1 seconds, and that ends after 0.08 seconds
    When answers of it end after "0, 0.05" seconds
    Then the answers are "whole, broken"

  Scenario Outline: An answer to another request <case>
    Given a run that answers no health check
    When an answer of it ends, and <case> a request that was sent <sent_s> seconds after that end
    Then the answer is <result> after <waited_s> seconds

    Examples:
      | case                    | sent_s | result | waited_s |
      | it answers 0.3 s later  | 0.1    | whole  | 0.3      |
      | it answers 0.3 s later  | 0      | whole  | 0.3      |
      | it answers 0.3 s later  | -0.1   | broken | 1        |
      | another run answers     | 0.1    | broken | 1        |

  Scenario Outline: Health checks that are <case>
    Given a run whose health checks are answered after <answered_s> seconds
    When an answer of it ends
    Then the answer is <result> after <waited_s> seconds

    Examples:
      | case          | answered_s | result | waited_s |
      | answered soon | 0.004      | whole  | 0.004    |
      | slow          | 0.7        | whole  | 0.9      |
      | too slow      | 0.9        | broken | 1        |

  # Guards against a stream that a crash cut off and that ends as complete, because its back end is back
  # under the name that it had before the connection's end arrives, from behind a cut (ORDER).
  # Cause: runs were told apart by that name alone.
  Scenario: A run whose name a later run has registered did not end its answer
    Given a run whose health checks are answered after 0.004 seconds
    And a later run is registered under its name
    When an answer of it ends
    Then the answer is broken after 0 seconds

  Scenario Outline: A health check states the start <answered> of a run registered with the start <registered>
    Given a run that its registration states to have started at <registered> ms
    When a health check is answered under its name with the start <answered> ms
    Then the state of that run is "<state>"

    Examples:
      | registered | answered | state |
      | 1000       | 1000     | lives |
      | 1000       | 2000     | ended |
      | 2000       | 1000     | ended |
      | 1000       | no       | lives |
      | no         | 2000     | lives |

  Scenario: Another answer that waits goes on if the first one is abandoned
    Given a run whose health checks are answered after 0.1 seconds
    When two answers of it end and the first one is abandoned after 0.05 seconds
    Then the second answer is whole within 0.2 seconds

  Scenario: A back end that has asked for a rest gets no health check
    Given a run that has asked for a rest
    When an answer of it ends
    Then the answer is broken after 1 seconds
    And the run got no health check

  Scenario: A run that answers a call that needs no slot gets no health check
    Given a run that answers calls that need no slot
    When an answer of it ends
    Then the answer is whole after 0 seconds
    And the run got no health check

  Scenario Outline: A report proves that a run is running only <case>
    Given an engine that has answered <before>
    When a report is asked for on <connection>
    Then the state of the run is "<state>"

    Examples:
      | case                                             | before                | connection          | state   |
      | on the connection of an answered health check    | a health check        | the same connection | lives   |
      | on that connection, not on another one           | a health check        | another connection  | unknown |
      | if a health check was answered before            | nothing               | the same connection | unknown |
      | if the run itself answered that health check     | another run's check   | the same connection | unknown |
      | if its address accepts connections               | a health check        | a refused connection | ended  |

  Scenario Outline: The end of a body is marked by <framing>
    Given an answer with the status <status> to a <method> request and the headers "<headers>"
    Then the end of its body is marked by "<framing>"

    Examples:
      | method | status | headers                                | framing    |
      | POST   | 200    |                                        | connection |
      | POST   | 200    | Content-Length: 3                      | length     |
      | POST   | 200    | Transfer-Encoding: chunked             | chunks     |
      | POST   | 500    |                                        | connection |
      | POST   | 204    |                                        | length     |
      | GET    | 304    |                                        | length     |
      | HEAD   | 200    |                                        | length     |

  Scenario Outline: An answer <answer> proves <proved> about the run
    Given an answer <answer> to a request
    Then it proves that the run was running as the request was sent: <proved>

    Examples:
      | answer                          | proved  |
      | to that request                 | yes     |
      | that names the run              | yes     |
      | that names another run          | nothing |
      | to another request              | nothing |
      | that names no request           | nothing |
      | of status 421                   | nothing |
      | of status 503 to that request   | yes     |
