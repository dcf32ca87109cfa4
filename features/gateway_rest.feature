Feature: A back end that asks for a rest gets no requests until the rest has passed

  # Guards against nodes that ignore the rest that a back end asks for. More than a tenth of the
  # callers of a service got 503 for seven seconds, although six of its nine back ends had room. The
  # other three refused requests with 503 and asked for 3 s of rest. Each node tried each of the three
  # again after 0.15 s, repeatedly, because a back end that runs nothing looks idle, and was refused
  # again. Where a route allows only one attempt, the caller was refused too.
  # Cause: the requested duration was not read. Each refusal was followed by the same short pause,
  # whatever its reason.
  # Evidence: the three back ends refused 186 requests in 5 s at seven nodes. In 164 of 165 cases, two
  # refusals by the same back end at the same node were at least 0.155 s apart. The three were
  # candidates of later requests, with a load of 0 or 1.
  Scenario: One of three back ends refuses all requests and asks for a rest
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" refuses all requests and asks for "3" seconds of rest
    And each node gets a request every 0.2 seconds for 9 seconds
    Then "lm-1" gets at most 2 requests from a node between 0.5 seconds after such a refusal and the end of its rest
    And at most 4 requests are not answered with 200

  Scenario Outline: The requested duration is parsed and applies in full
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" refuses one request and asks for a rest of "<rests>"
    And each node gets a request every 0.05 seconds for 9 seconds
    Then "lm-1" gets no request for <for_s> seconds, and one within <latest_s> seconds

    Examples:
      | rests                         | for_s | latest_s |
      | 3                             | 3     | 4        |
      | 2.5                           | 2.5   | 3.5      |
      | 0.4                           | 0.4   | 0.7      |
      | 1 and 3                       | 3     | 4        |
      | 3 and 1                       | 3     | 4        |
      | 3 and soon                    | 3     | 4        |

    Examples: no duration, or an unreadable one: the pause after any refusal applies
      | rests                         | for_s | latest_s |
      | 0                             | 0.15  | 0.5      |
      | -3                            | 0.15  | 0.5      |
      | nan                           | 0.15  | 0.5      |
      | inf                           | 0.15  | 0.5      |
      | 1e300                         | 0.15  | 0.5      |
      | nothing                       | 0.15  | 0.5      |
      | soon                          | 0.15  | 0.5      |
      | Wed, 21 Oct 2026 07:28:00 GMT | 0.15  | 0.5      |

  Scenario: An unreadable duration is logged once for each answer, with the remedy
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" refuses one request and asks for a rest of "soon"
    And each node gets a request every 0.05 seconds for 3 seconds
    Then the log reports "soon" as an unreadable rest

  Scenario Outline: A rest of more than an hour is cut to an hour
    Given a run that asks for a rest of "<rest>" seconds
    Then the run rests for 3600 to 3601 seconds

    Examples:
      | rest                             |
      | 5000                             |
      | 99999999999999999999999999999999 |

  Scenario Outline: Of two rests that a run asks for, the one that ends later applies
    Given a run that asks for a rest of "<first>" seconds
    When it asks for a rest of "<second>" seconds 1 second later
    Then the run rests for <from_s> to <to_s> seconds

    Examples:
      | first | second | from_s | to_s |
      | 8     | 1      | 8      | 9    |
      | 1     | 8      | 9      | 10   |

  Scenario Outline: A rest applies to every kind of request and of refusal
    Given 1 node and 3 scripted back ends of each service
    When "<name>" refuses all requests, <how>, and asks for "3" seconds of rest
    And each node gets a request for "<path>" every 0.2 seconds for 9 seconds
    Then "<name>" gets at most 2 requests from a node between 0.5 seconds after such a refusal and the end of its rest

    Examples:
      | name | path | how                               |
      | lm-1 | /a/1 | with proof that they were not run |
      | lm-1 | /n/1 | with proof that they were not run |
      | lm-1 | /f/1 | without proof                     |
      | o-1  | /s/1 | with proof that they were not run |
      | o-1  | /s/1 | without proof                     |
      | o-1  | /o/1 | with proof that they were not run |

  Scenario: A Retry-After of another status than 503 is not a rest
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" refuses one request with 429 and asks for a rest of "3"
    And each node gets a request every 0.05 seconds for 3 seconds
    Then "lm-1" gets no request for 0.15 seconds, and one within 0.5 seconds

  Scenario: With all back ends at rest, callers are refused at once and told when to retry
    Given 1 node and 2 scripted back ends of each service
    When "lm-1" and "lm-2" refuse requests until each has asked for a rest of "3"
    And each node gets a request every 0.1 seconds for 6 seconds
    Then from 0.5 to 2.5 seconds callers get 503 within 0.05 seconds, with the remaining time
    And the log gives "resting" as the cause of these refusals
    And the last 5 callers are answered

  Scenario: A rest does not count as a fault
    Given 1 node and 2 scripted back ends of each service
    When "lm-1" refuses all requests and asks for "0.5" seconds of rest
    And each node gets a request every 0.1 seconds for 9 seconds
    Then no circuit opens, and at most 20 retries are used

  Scenario: No probe is sent during a rest
    Given 1 node and 2 scripted back ends of each service
    When the circuit of "lm-1" opens, and the answer to a probe asks for a rest of "3"
    And each node gets a request every 0.2 seconds for 6 seconds
    Then "lm-1" gets no probe until the rest has passed

  Scenario Outline: A rest belongs to one run of a back end at one node, and passes with real time
    Given 1 node and 3 scripted back ends of each service
    When "lm-1" refuses one request, asks for a rest of "5", and then <event>
    And each node gets a request every 0.1 seconds for 7 seconds
    Then "lm-1" gets a request within 2 seconds: <gets>

    Examples:
      | event                                          | gets |
      | its process restarts under the same name       | yes  |
      | its registration ends and returns as ready     | no   |
      | the node's machine is suspended for 6 seconds  | yes  |
      | requests go to another node                    | yes  |

  Scenario: Nodes that were refused together do not return together
    Given a back end that asks 30 nodes at the same time for a rest of 3 seconds
    Then their rests end from 3 to 3.75 seconds later, at most 15 of them within 0.1 seconds

  Scenario: A later and shorter rest does not end a longer one
    Given a run that asks for a rest of "3" seconds
    When it asks for a rest of "0.5" seconds 1 second later
    Then the run rests for 3 to 4 seconds
