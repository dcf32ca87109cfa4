Feature: Under overload the goodput stays the same, and other callers are refused at once
  Guards against queues so long that answers are late for everybody, against refusals while engines
  have spare capacity, and against slow streams that are abandoned and prefilled again elsewhere.

  Scenario Outline: Goodput does not fall when callers offer more than the engines can prefill
    Given 3 nodes and 3 engines that prefill at a quarter of the usual rate
    When callers drawn with seeds 1 to 6 offer <first> times what the engines can prefill, and then <second> times
    Then the second load has at least <share> of the first one's goodput
    And every refusal takes at most 0.1 seconds and has a Retry-After, and its request has not run

    Examples: a caller served in time, without a longer pause than the route allows, counts 1, and a late one 0.3
      | first | second | share |
      | 1     | 1.5    | 0.9   |
      | 1     | 2      | 0.9   |
      | 1     | 3      | 0.9   |

  Scenario: Engines with spare capacity serve all callers
    Given 3 nodes and 3 engines that prefill at a quarter of the usual rate
    When callers offer 0.4 times what the engines can prefill, and then 0.4 times
    Then at most 2 in 100 callers of either load are refused

  # Guards against refusals while the caches are still empty: long prompts that arrive close together then
  # wait, and other streams of the engine pause.
  Scenario: Engines with spare capacity serve all callers, whatever the order of the first callers
    Given 3 nodes and 3 engines that prefill at a quarter of the usual rate
    When callers drawn with seeds 4 to 7 offer 0.4 times what the engines can prefill, and then 0.4 times
    Then at most 2 in 100 callers of either load are refused

  Scenario Outline: Engines that fetch cached blocks, always or sometimes, also serve all callers
    Given 3 nodes and 3 engines that prefill at a quarter of the usual rate
    When callers drawn with seeds 4 to 7 offer 0.4 times what engines can prefill that fetch for one in <each> requests with a source
    Then at most 2 in 100 callers of either load are refused

    Examples:
      | each |
      | 1    |
      | 2    |

  Scenario Outline: Which requests are refused
    Given an estimated wait of <others> seconds for other requests and <own> seconds for the own prompt
    When a caller's <try> try arrives with <share> of the queue limit in force
    Then the try is "<result>"

    Examples: an objective of 1 s, a queue limit of 0.8 s
      | others | own | try    | share | result  |
      | 0.0    | 0.1 | first  | 1.0   | sent    |
      | 0.6    | 0.1 | first  | 1.0   | sent    |
      | 0.8    | 0.1 | first  | 1.0   | refused |
      | 0.6    | 0.1 | first  | 0.5   | refused |
      | 0.8    | 0.1 | second | 1.0   | sent    |
      | 2.5    | 0.1 | second | 1.0   | refused |
      | 0.8    | 0.1 | second | 0.3   | refused |
      | 0.04   | 0.1 | first  | 0.05  | sent    |
      | 0.06   | 0.1 | first  | 0.05  | refused |
      | 0.5    | 2.0 | first  | 1.0   | sent    |
      | 0.9    | 2.0 | first  | 1.0   | refused |

  Scenario Outline: An overdue attempt is reported before its first event
    Given an attempt with an expected wait of <expected> seconds at an engine that <activity>
    When the attempt has waited for <waited> seconds
    Then the attempt is "<reported>", and reported again after <again> seconds

    Examples: reported after 1.5 times the expected wait, and each time the wait has grown by this factor
      | expected | activity               | waited | reported     | again |
      | 0.4      | emits other events     | 0.5    | not reported | 0.7   |
      | 0.4      | emits other events     | 0.65   | reported     | 1.0   |
      | 0.01     | emits other events     | 0.05   | not reported | 0.2   |
      | 0.4      | has emitted none since | 5.0    | not reported | never |

  Scenario Outline: A stream is abandoned only for a pause that is long for its service
    Given streams of a service with usual pauses of <usual> seconds and allowed pauses of 0.5 seconds
    Then a silent stream is abandoned after <timeout> seconds

    Examples:
      | usual | timeout |
      | 0.05  | 0.75    |
      | 0.2   | 0.75    |
      | 1.0   | 3.0     |

  Scenario: A slow stream is not abandoned without a retry
    When the retry budget is used up and a stream pauses for 1.2 seconds
    Then the first engine completes the stream

  Scenario Outline: Only pauses of engines lower the queue limit, not callers that read slowly
    Given a node with no reserve from idle engines
    When a stream whose engine pauses for <engine> seconds is read by a caller that takes <caller> seconds per part
    Then between <least> and <most> of the queue limit is in force

    Examples: the route allows pauses of 0.5 seconds; the engine takes 0.02 more for its next event
      | engine | caller | least | most |
      | 0.0    | 0.0    | 1.0   | 1.0  |
      | 0.7    | 0.0    | 0.77  | 0.79 |
      | 0.0    | 0.6    | 1.0   | 1.0  |

  Scenario: Of two silent streams with one retry left, one resumes at another engine and neither is lost
    Given a node with three engines and a retry budget of one retry
    When two resumable streams become silent for 3 seconds at the same time
    Then both streams are complete, one of them resumed at another engine
