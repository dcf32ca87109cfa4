Feature: The gateway chooses the back end with the earliest first event and the least repeated prefill
  Guards against prompts that are prefilled again although an engine caches them, against nodes that
  all choose the same engine because they do not see each other's choices yet, and against requests
  at back ends that are failing, full or about to have weights that are too old.

  Scenario Outline: Load, caches and zones determine the choice
    Given two engines, "<first>" and "<second>"
    When a node in zone "here" chooses an engine for a prompt of 800 shared and 200 own tokens
    Then "<chosen>" is chosen, with <cached> tokens cached and <fetched> fetched

    Examples: each engine as a list of its traits; equal ones are chosen by a hash of the prompt
      | first                | second                       | chosen          | cached | fetched |
      | idle                 | busy                         | first           | 0      | 0       |
      | busy                 | idle                         | second          | 0      | 0       |
      | idle                 | caches it                    | second          | 800    | 0       |
      | idle                 | caches it,long queue         | first           | 0      | 800     |
      | idle                 | was sent it                  | second          | 800    | 0       |
      | idle                 | caches it for another tenant | always the same | 0      | 0       |
      | idle                 | caches it for old weights    | always the same | 0      | 0       |
      | caches it,other zone | caches it                    | second          | 800    | 0       |
      | idle                 | full memory                  | first           | 0      | 0       |
      | idle,suspect         | idle                         | second          | 0      | 0       |
      | full slots           | idle                         | second          | 0      | 0       |
      | idle,newer target    | idle                         | second          | 0      | 0       |
      | idle,newer target    | busy                         | second          | 0      | 0       |
      | idle,newer target    | very long queue              | first           | 0      | 0       |
      | caches it            | idle,spare permit            | first           | 800    | 0       |
      | idle                 | busy,spare permit            | first           | 0      | 0       |

  Scenario Outline: Of equal back ends one goes first for which the node holds a permit, <first>, <second>
    Given two engines, "<first>" and "<second>"
    When a node chooses a back end for 50 requests without a prompt
    Then the chosen back ends are "<chosen>"

    Examples:
      | first             | second            | chosen        |
      | idle              | idle,spare permit | second        |
      | idle,spare permit | idle              | first         |
      | idle              | idle              | first, second |
      | idle              | busy,spare permit | first         |

  Scenario: Prompts that no engine caches are spread evenly by their hashes, with the same result at all nodes
    Given two engines, "idle" and "idle"
    When 3 nodes choose an engine for each of 200 prompts that no engine caches
    Then the nodes agree on nearly all prompts, and the first engine gets between 70 and 130 of these

  Scenario Outline: Nodes do not all choose the same engine when gossip about loads is late
    Given 20 engines without requests, each with up to 20 ms of waiting prompts
    When 100 nodes choose an engine for a prompt each while gossip is <delay> seconds late
    Then the most chosen engine gets between <least> and <most> of the prompts

    Examples: without a delay, nodes need not avoid the best engine
      | delay | least | most |
      | 0.0   | 25    | 60   |
      | 0.05  | 8     | 24   |
      | 0.25  | 5     | 14   |

  Scenario: The least recently used blocks are presumed evicted first, and the end of a prompt before its beginning
    Given an engine that caches 1000 tokens
    When the blocks "a:400,b:200" and then "c:500" are recorded there
    Then "a:400,b:200" matches 400 cached tokens
    And "c:500" matches 500 cached tokens

  Scenario: Blocks that were sent but never prefilled do not count as cached
    Given an engine that caches 1000 tokens
    When the blocks "a:400,b:200" are sent there and not prefilled
    Then "a:400,b:200" matches 0 cached tokens

  Scenario: Prompts that other nodes send to an engine count as cached there
    Given 2 nodes and 2 engines that cache prompts
    When one node sends a prompt, and then the other node the same prompt
    Then all runs were at the same engine

  Scenario: An isolated tenant's prompts share no cache scope with those of other tenants
    Given 1 nodes and 2 engines that cache prompts
    When tenants "open" and "isolated" and "open2" send the same prompt
    Then the cache scopes of "open" and "open2" are the same and that of "isolated" differs

  Scenario: A back end that refused a request gets no more while another one serves
    Given 1 nodes and 2 engines that cache prompts
    When the engine chosen first refuses a request, and 5 more are sent at once
    Then the engine that refused received 1 request

  Scenario Outline: Circuit breakers open at failures and close after probes or requests
    Given a back end's circuit breaker
    When the circuit breaker observes "<events>"
    Then the circuit breaker "<admits>" requests

    Examples:
      | events                              | admits         |
      | success                             | admits         |
      | failure                             | admits         |
      | failure,failure                     | does not admit |
      | unreachable                         | does not admit |
      | unreachable,wait,probe              | admits         |
      | failure,failure,wait,probe          | rarely admits  |
      | failure,failure,wait,success,settle | admits         |

  Scenario Outline: Retries that one node may take from a budget shared by <nodes> nodes
    Given a retry budget of 0.2 per request and 50 extra in 10 seconds, shared by <nodes> nodes
    When a node that <start> has received <requests> requests
    Then it may retry at most <most> and at least <least> times

    Examples:
      | nodes | start                      | requests | most | least |
      | 5     | was restarted              | 100      | 20   | 15    |
      | 5     | started for the first time | 100      | 30   | 20    |
      | 1     | started for the first time | 0        | 50   | 40    |
      | 5     | was restarted              | 0        | 0    | 0     |

  Scenario Outline: The rates of engines are learnt from their first events
    Given engines that prefill <tokens_per_ms> tokens per ms, plus <base_ms> ms and <active_ms> ms per active request
    When <count> first events are observed, <late> in a hundred of them 2 s late
    Then the median error of the next estimates is below <error> of the actual time

    Examples: the initial rates are 38 tokens per ms, 20 ms, and 1.5 ms per active request
      | tokens_per_ms | base_ms | active_ms | count | late | error |
      | 38            | 20      | 1.5       | 100   | 0    | 0.10  |
      | 57            | 50      | 0.5       | 100   | 0    | 0.10  |
      | 15            | 10      | 3         | 200   | 0    | 0.10  |
      | 76            | 40      | 1         | 100   | 0    | 0.15  |
      | 57            | 50      | 0.5       | 100   | 3    | 0.20  |
      | 15            | 10      | 3         | 300   | 3    | 0.15  |

  Scenario Outline: Rates stay within their bounds, whatever is observed
    When <count> first events of <tokens> tokens that took <took_s> s are observed
    Then every rate lies within its bounds

    Examples:
      | count | tokens | took_s |
      | 1000  | 0      | 0      |
      | 1000  | 100000 | 0      |
      | 1000  | 1      | 3600   |
      | 1000  | 0      | 3600   |

  Scenario Outline: An engine whose weights are too old in <left> s gets <what>
    Given an engine with old weights and an estimated wait of 1 s
    When its weights are too old in <left> s and the longest recent wait was <recent> s
    Then the engine gets <what>

    Examples:
      | left | recent | what       |
      | 3.3  | 0      | a request  |
      | 2.9  | 0      | no request |
      | 3.7  | 3      | a request  |
      | 3.5  | 3      | no request |
