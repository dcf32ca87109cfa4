Feature: A back end that asks for rest gets nothing until the rest has passed

  # Over a tenth of the callers of a service got 503 for seven seconds, though six of its nine back
  # ends had room. Three turned requests away with 503 and asked for 3 s of rest; each node tried each
  # of the three again after 0.15 s, over and over, since a back end that runs nothing looks idle, and
  # was turned away again; where a route allows one attempt, its caller was, too.
  # Cause: the time asked for was not read. Each refusal was followed by one fixed short pause,
  # whatever its reason was.
  # Evidence: 186 refusals by the three in 5 s at seven nodes; between two by the same back end at the
  # same node lie 0.155 s and more in 164 of 165 cases; the three are among the candidates of later
  # requests with a load of 0 or 1.
  Scenario: One of three back ends turns everything away and asks for rest
    Given 1 node before 3 back ends that speak
    When "lm-1" turns everything away and asks for "3" seconds of rest
    And each node is asked each 0.2 seconds for 9 seconds
    Then "lm-1" gets at most 2 requests from a node between 0.5 seconds after such an answer and the end of its rest
    And at most 4 requests are not answered

  Scenario Outline: The time that is asked for is read, and counts in full
    Given 1 node before 3 back ends that speak
    When "lm-1" turns everything away once and asks for "<rests>"
    And each node is asked each 0.05 seconds for 9 seconds
    Then "lm-1" gets nothing for <for_s> seconds, and something within <latest_s> seconds

    Examples:
      | rests                         | for_s | latest_s |
      | 3                             | 3     | 4        |
      | 2.5                           | 2.5   | 3.5      |
      | 0.4                           | 0.4   | 0.7      |
      | 1 and 3                       | 3     | 4        |
      | 3 and 1                       | 3     | 4        |
      | 3 and soon                    | 3     | 4        |

    Examples: none, or none that can be read: the pause after any refusal holds
      | rests                         | for_s | latest_s |
      | 0                             | 0.15  | 0.5      |
      | -3                            | 0.15  | 0.5      |
      | nan                           | 0.15  | 0.5      |
      | inf                           | 0.15  | 0.5      |
      | 1e300                         | 0.15  | 0.5      |
      | nothing                       | 0.15  | 0.5      |
      | soon                          | 0.15  | 0.5      |
      | Wed, 21 Oct 2026 07:28:00 GMT | 0.15  | 0.5      |

  Scenario: What cannot be read is told once for each answer, with the remedy
    Given 1 node before 3 back ends that speak
    When "lm-1" turns everything away once and asks for "soon"
    And each node is asked each 0.05 seconds for 3 seconds
    Then the log tells "soon" as unreadable

  Scenario Outline: A rest beyond an hour lasts an hour
    Given a rest of "<rest>" seconds that is asked for
    Then the run has its rest from 3600 to 3601 seconds

    Examples:
      | rest                             |
      | 5000                             |
      | 99999999999999999999999999999999 |

  Scenario Outline: Of two rests that a run asks for the one that ends later holds
    Given a rest of "<first>" seconds that is asked for
    When a rest of "<second>" seconds is asked for 1 second later
    Then the run has its rest from <from_s> to <to_s> seconds

    Examples:
      | first | second | from_s | to_s |
      | 8     | 1      | 8      | 9    |
      | 1     | 8      | 9      | 10   |

  Scenario Outline: It is the same for every kind of request and of refusal
    Given 1 node before 3 back ends that speak
    When "<name>" turns everything away, <how>, and asks for "3" seconds of rest
    And each node is asked at "<path>" each 0.2 seconds for 9 seconds
    Then "<name>" gets at most 2 requests from a node between 0.5 seconds after such an answer and the end of its rest

    Examples:
      | name | path | how                  |
      | lm-1 | /a/1 | proved unrun         |
      | lm-1 | /n/1 | proved unrun         |
      | lm-1 | /f/1 | without proof        |
      | o-1  | /s/1 | proved unrun         |
      | o-1  | /s/1 | without proof        |
      | o-1  | /o/1 | proved unrun         |

  Scenario: A time named by another status than 503 is not a rest
    Given 1 node before 3 back ends that speak
    When "lm-1" turns everything away once with 429 and asks for "3"
    And each node is asked each 0.05 seconds for 3 seconds
    Then "lm-1" gets nothing for 0.15 seconds, and something within 0.5 seconds

  Scenario: With all back ends at rest callers are refused at once and told when one is back
    Given 1 node before 2 back ends that speak
    When "lm-1" and "lm-2" turn everything away once and ask for "3"
    And each node is asked each 0.1 seconds for 6 seconds
    Then from 0.5 to 2.5 seconds callers get 503 within 0.05 seconds, with the time that is left
    And these are told as "resting" in the log
    And the last 5 callers are answered

  Scenario: A rest is no fault
    Given 1 node before 2 back ends that speak
    When "lm-1" turns everything away and asks for "0.5" seconds of rest
    And each node is asked each 0.1 seconds for 9 seconds
    Then no circuit opens, and at most 20 retries are spent

  Scenario: A probe is not sent into a rest either
    Given 1 node before 2 back ends that speak
    When the circuit of "lm-1" opens, and a probe is answered with a rest of "3"
    And each node is asked each 0.2 seconds for 6 seconds
    Then "lm-1" gets no probe until the rest has passed

  Scenario Outline: Whose rest it is
    Given 1 node before 3 back ends that speak
    When "lm-1" turns everything away once, asks for "5", and then <what>
    And each node is asked each 0.1 seconds for 7 seconds
    Then "lm-1" gets something within 2 seconds: <gets>

    Examples:
      | what                                           | gets |
      | its process starts again under its name        | yes  |
      | its registration ends and comes again as ready | no   |
      | the node's machine is suspended for 6 seconds  | yes  |
      | another node is asked                          | yes  |

  Scenario: Nodes that were turned away together do not come back together
    Given 30 runs that are told at one moment to rest for 3 seconds
    Then their rests end from 3 to 3.75 seconds later, at most 15 of them within 0.1 seconds
