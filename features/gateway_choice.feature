Feature: The gateway chooses the back end that answers first with the least prompt read again

  Scenario Outline: Load, caches and zones decide
    Given runners that differ: "<first>" and "<second>"
    When a prompt of 800 shared and 200 own tokens is to be placed in zone "here"
    Then "<chosen>" is chosen, with <cached> tokens cached and <fetched> fetched

    Examples: two runners, each a list of what sets it apart
      | first                | second                  | chosen | cached | fetched |
      | idle                 | busy                    | first  | 0      | 0       |
      | busy                 | idle                    | second | 0      | 0       |
      | idle                 | keeps it                | second | 800    | 0       |
      | idle                 | keeps it,waiting        | first  | 0      | 800     |
      | idle                 | keeps it unread         | second | 800    | 0       |
      | idle                 | keeps it for another    | one    | 0      | 0       |
      | idle                 | keeps it of old weights | one    | 0      | 0       |
      | keeps it,elsewhere   | keeps it                | second | 800    | 0       |
      | idle                 | full memory             | first  | 0      | 0       |
      | idle,suspect         | idle                    | second | 0      | 0       |
      | full slots           | idle                    | second | 0      | 0       |
      | idle,newer named     | idle                    | second | 0      | 0       |
      | idle,newer named     | busy                    | second | 0      | 0       |
      | idle,newer named     | far behind              | first  | 0      | 0       |

  Scenario: A prompt that nobody keeps belongs to one runner by its hash, evenly over prompts
    Given runners that differ: "idle" and "idle"
    When 200 prompts that nobody keeps are to be placed by 3 nodes
    Then each prompt goes to one runner, and each runner gets between 70 and 130

  Scenario Outline: Where news of loads comes late, nodes do not all choose the same runner
    Given 20 idle runners, each with up to 20 ms of waiting prompts
    When 100 nodes place a prompt each while news is <delay> seconds late
    Then the busiest runner gets between <least> and <most> of them

    Examples: at once, the best runner is the best
      | delay | least | most |
      | 0.0   | 25    | 60   |
      | 0.05  | 8     | 24   |
      | 0.25  | 5     | 14   |

  Scenario: The least recently used parts are believed to give way, ends before beginnings
    Given a place that keeps 1000 tokens
    When the parts "a:400,b:200" and then "c:500" are noted there
    Then "a:400,b:200" matches 400 tokens
    And "c:500" matches 500 tokens

  Scenario: A part that was never read is no source
    Given a place that keeps 1000 tokens
    When the parts "a:400,b:200" are sent there and not read
    Then "a:400,b:200" matches 0 tokens

  Scenario: What peers send counts as this node's own knowledge
    Given 2 nodes and 2 runners that keep prompts
    When one node sends a generation and the other one the same prompt
    Then both runs were at one runner

  Scenario: An isolated tenant's prompt is never looked up with another's
    Given 1 nodes and 2 runners that keep prompts
    When tenants "open" and "walled" and "open2" send the same prompt
    Then the scopes of "open" and "open2" are one and that of "walled" is its own

  Scenario: A back end that refused rests, and serves again when nothing else does
    Given 1 nodes and 2 runners that keep prompts
    When the runner chosen first refuses, and 5 more generations are sent at once
    Then the refusing runner got 1 request

  Scenario Outline: Circuits open at failures and close by probe or by request
    Given a back end's circuit
    When it sees "<events>"
    Then its circuit "<admits>" requests

    Examples:
      | events                              | admits         |
      | success                             | admits         |
      | failure                             | admits         |
      | failure,failure                     | does not admit |
      | unreachable                         | does not admit |
      | unreachable,wait,probe              | admits         |
      | failure,failure,wait,probe          | rarely admits  |
      | failure,failure,wait,success,settle | admits         |

  Scenario Outline: The retry budget of <nodes> nodes
    Given a retry budget of 0.2 with 50 extra over 10 seconds, shared by <nodes> nodes
    When a node that <start> has seen <requests> requests
    Then it may repeat at most <repeats> and at least <least>

    Examples:
      | nodes | start         | requests | repeats | least |
      | 5     | starts anew   | 100      | 20      | 15    |
      | 5     | starts first  | 100      | 30      | 20    |
      | 1     | starts first  | 0        | 50      | 40    |
      | 5     | starts anew   | 0        | 0       | 0     |

  Scenario Outline: The rates of runners are learnt from their first events
    Given runners that read <tokens_per_ms> tokens a ms, with <base_ms> ms and <active_ms> ms a request on top
    When <count> first events are observed, <far_off> in a hundred of them 2 s late
    Then the median error of the next estimates is under <error> of the time

    Examples: at the start 38 tokens a ms, 20 ms and 1.5 ms a request are assumed
      | tokens_per_ms | base_ms | active_ms | count | far_off | error |
      | 38            | 20      | 1.5       | 100   | 0       | 0.10  |
      | 57            | 50      | 0.5       | 100   | 0       | 0.10  |
      | 15            | 10      | 3         | 200   | 0       | 0.10  |
      | 76            | 40      | 1         | 100   | 0       | 0.15  |
      | 57            | 50      | 0.5       | 100   | 3       | 0.20  |
      | 15            | 10      | 3         | 300   | 3       | 0.15  |

  Scenario Outline: Whatever is observed, the rates stay within bounds
    When <count> first events of <tokens> tokens that took <took_s> s are observed
    Then every rate lies within its bounds

    Examples:
      | count | tokens | took_s |
      | 1000  | 0      | 0      |
      | 1000  | 100000 | 0      |
      | 1000  | 1      | 3600   |
      | 1000  | 0      | 3600   |

  Scenario Outline: A runner that has <left> s left for its old weights gets <what>
    Given a runner with old weights where a request is to wait for 1 s
    When its weights are too old in <left> s and the longest wait of late was <recent> s
    Then it gets <what>

    Examples:
      | left | recent | what       |
      | 3.3  | 0      | a request  |
      | 2.9  | 0      | no request |
      | 3.7  | 3      | a request  |
      | 3.5  | 3      | no request |
