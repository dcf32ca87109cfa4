Feature: Under overload as many callers are served as before, and the others are told at once

  Scenario Outline: Goodput does not fall as more is offered than can be read
    Given 3 nodes before 3 runners that read a quarter as fast as usual
    When callers drawn with seeds 1 to 6 offer <first> times what the runners can read, and then <second> times
    Then the second load has at least <share> of the first one's goodput
    And every refusal is told within 0.1 seconds, with when to come back, and has not run

    Examples: a caller served in time, with no pause beyond what the route allows, counts 1, a late one 0.3
      | first | second | share |
      | 1     | 1.5    | 0.9   |
      | 1     | 2      | 0.9   |
      | 1     | 3      | 0.9   |

  Scenario: Runners that have time serve everybody
    Given 3 nodes before 3 runners that read a quarter as fast as usual
    When callers offer 0.4 times what the runners can read, and then 0.4 times
    Then at most 2 in 100 callers of either load are refused

  # Nothing is cached yet: long prompts that come close together wait, and the streams beside them pause.
  Scenario: Runners that have time serve everybody whatever the order of the first callers
    Given 3 nodes before 3 runners that read a quarter as fast as usual
    When callers drawn with seeds 4 to 7 offer 0.4 times what the runners can read, and then 0.4 times
    Then at most 2 in 100 callers of either load are refused

  Scenario Outline: Runners that fetch cached parts, always or at times, serve everybody as well
    Given 3 nodes before 3 runners that read a quarter as fast as usual
    When callers drawn with seeds 4 to 7 offer 0.4 times that, to runners that fetch for one in <each> requests with a source
    Then at most 2 in 100 callers of either load are refused

    Examples:
      | each |
      | 1    |
      | 2    |

  Scenario Outline: Who is told to come back
    Given a wait of <others> seconds that others cause and <own> seconds of its own
    When a caller that "<asks>" asks with <share> of the bound in force
    Then that caller is "<answer>"

    Examples: an objective of 1 s, a bound of 0.8 s
      | others | own | asks       | share | answer |
      | 0.0    | 0.1 | first      | 1.0   | sent   |
      | 0.6    | 0.1 | first      | 1.0   | sent   |
      | 0.8    | 0.1 | first      | 1.0   | told   |
      | 0.6    | 0.1 | first      | 0.5   | told   |
      | 0.8    | 0.1 | once more  | 1.0   | sent   |
      | 2.5    | 0.1 | once more  | 1.0   | told   |
      | 0.8    | 0.1 | once more  | 0.3   | told   |
      | 0.04   | 0.1 | first      | 0.05  | sent   |
      | 0.06   | 0.1 | first      | 0.05  | told   |
      | 0.5    | 2.0 | first      | 1.0   | sent   |
      | 0.9    | 2.0 | first      | 1.0   | told   |

  Scenario Outline: An attempt that waits too long tells so before it ends
    Given an attempt expected to take <expected> seconds at a runner that <lives>
    When <waited> seconds have passed
    Then it "<tells>", and tells once more after <again> seconds

    Examples: after 1.5 times what was expected, and each time that the wait has grown so
      | expected | lives               | waited | tells         | again |
      | 0.4      | makes other events  | 0.5    | tells nothing | 0.7   |
      | 0.4      | makes other events  | 0.65   | tells         | 1.0   |
      | 0.01     | makes other events  | 0.05   | tells nothing | 0.2   |
      | 0.4      | has made none since | 5.0    | tells nothing | never |

  Scenario Outline: A stream is left for a pause only beyond what is usual
    Given streams of a service that usually pause for <usual> seconds and may for 0.5 seconds
    Then a silent one is left after <patience> seconds

    Examples:
      | usual | patience |
      | 0.05  | 0.75     |
      | 0.2   | 0.75     |
      | 1.0   | 3.0      |

  Scenario: A slow stream is not left where no repeat may be spent
    When the retry budget is spent and a stream pauses for 1.2 seconds
    Then the stream is answered by its first runner

  Scenario Outline: Only pauses of the runner lower the bound, not callers that read slowly
    Given a node that knows of no idle runners
    When a stream whose runner pauses for <runner> seconds is read by a caller that takes <caller> seconds a part
    Then between <least> and <most> of the bound is in force

    Examples: the route allows pauses of 0.5 seconds; the runner takes 0.02 more for its next event
      | runner | caller | least | most |
      | 0.0    | 0.0    | 1.0   | 1.0  |
      | 0.7    | 0.0    | 0.77  | 0.79 |
      | 0.0    | 0.6    | 1.0   | 1.0  |

  Scenario: Of two streams that are overdue with one repeat left, one goes on elsewhere and neither is lost
    Given a node with three runners of streams and one repeat to spend
    When two resumable streams fall silent for 3 seconds at the same moment
    Then both are answered whole, one of them by another runner
