Feature: Routing tasks choose back ends and explain their choices

  Guards against refusals with a wrong code or retry delay, against load estimates that ignore requests
  sent since the last report, against choices that are never released, and against failed back ends
  that still get work or are never tried again.

  Scenario Outline: Refusals state their cause and when to retry
    Given a node with 3 engines that take 2 requests each
    Then if <situation>, the next request is refused as <code>, not run, with a retry between <least> and <most> s

    Examples:
      | situation                                        | code           | least | most |
      | every engine is full and answers take 4 s        | overloaded     | 1.9   | 2.1  |
      | every engine refused as busy for 3 s             | overloaded     | 2.9   | 3.1  |
      | every engine is excluded                         | no_backend     | 1.0   | 1.0  |
      | no engine has the adapter                        | no_backend     | 1.0   | 1.0  |
      | no engine has the version of a continued answer  | no_backend     | 1.0   | 1.0  |
      | every engine is leaving                          | no_backend     | 1.0   | 1.0  |
      | the model is not declared                        | unknown_model  | 0.0   | 0.0  |
      | no configuration was ever received               | not_configured | 1.0   | 1.0  |

  Scenario: A node serves as soon as it has its first load reports
    Given a node with 3 engines that take 2 requests each
    When a request arrives 0.2 s before the engines are reachable
    Then the request is routed to an engine after 0.1 to 1.0 s

  Scenario: Concurrent requests are spread although load reports lag
    Given a node with 3 engines that take 64 requests each
    When 30 requests arrive at once
    Then each engine gets 10 requests

  Scenario Outline: The estimate adds the requests sent since a report
    Given a load estimate at 8000 tokens/s with a report of 5 requests and 4000 tokens made at 10 s
    When <events>
    Then the estimate is <requests> requests and <tokens> tokens at <at> s

    Examples:
      | events                                             | requests | tokens | at    |
      | nothing is sent                                    | 5        | 4000   | 10    |
      | nothing is sent                                    | 5        | 2400   | 10.2  |
      | nothing is sent                                    | 5        | 0      | 20    |
      | a of 1000 tokens at 10.2                           | 6        | 3400   | 10.2  |
      | a of 1000 tokens at 10.2, b of 1000 tokens at 10.3 | 7        | 3600   | 10.3  |
      | a of 1000 tokens at 11                             | 6        | 1000   | 11    |
      | a of 1000 tokens at 10.2, a ends                   | 5        | 3400   | 10.2  |
      | a of 8 tokens at 10.2, report of 1 and 0 at 10.1   | 2        | 8      | 10.2  |
      | a of 8 tokens at 10.2, report of 1 and 0 at 10.3   | 1        | 0      | 10.3  |
      | a of 8 tokens at 10.2, report of 3 and 0 at 10.3, a ends | 2  | 0      | 10.4  |

  Scenario: Engines with different weight versions are matched by different block hashes
    Given a node with 3 engines that take 64 requests each
    When two engines load v2 and 30 requests arrive at once
    Then the policy chose separately for each version, with block hashes of that version
    And the cheaper of the two choices was used

  Scenario Outline: An engine that the policy never prefers is still tried after a failure
    Given a node with 3 engines that take 64 requests each
    When the least preferred engine has failed and 20 requests a second arrive that are <kind>
    Then the least preferred engine has got <trials> after 10 s

    Examples:
      | kind                      | trials    |
      | repeatable                | one trial |
      | not repeatable            | no trial  |

  Scenario: A caller that disconnects during the choice leaves no request counted
    Given a node with 3 engines that take 64 requests each
    When 30 callers disconnect during the choice
    Then no engine and no service back end counts a request

  Scenario: Service back ends of the node's zone are preferred until they are busier
    Given a service with 6 back ends in 3 zones
    When 12 requests arrive at once
    Then the first 4 go to the node's zone and every back end gets some

  Scenario Outline: Faults that exclude a service back end from further requests
    Given a service with 6 back ends in 3 zones
    When a back end of the node's zone <fault>
    Then that back end gets <share> of the next 50 requests

    Examples:
      | fault                          | share |
      | breaks connections             | none  |
      | answers 503 to every request   | none  |
      | answers 500 to every request   | some  |
      | answers another request        | none  |
      | is listed as leaving           | none  |
      | was tried by the request       | none  |

  Scenario: Any node explains a request that another node served
    Given three nodes that each keep the decisions of 4 requests
    When the first node has served 6 requests
    Then the third node explains the last request with its outcome, as text and as JSON
    And the third node has no explanation of the first request or of a request that no node served
