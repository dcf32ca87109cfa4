Feature: Routing tasks choose back ends and explain it
  Scenario Outline: Refusals are honest
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
      | no configuration ever came                       | not_configured | 1.0   | 1.0  |

  Scenario: A node serves as soon as its first reports are in
    Given a node with 3 engines that take 2 requests each
    When a request comes 0.2 s before the engines can be reached
    Then it is given an engine after 0.1 to 1.0 s

  Scenario: Requests of one moment are spread although reports lag
    Given a node with 3 engines that take 64 requests each
    When 30 requests come at one moment
    Then each engine gets 10 of them

  Scenario Outline: The estimate corrects a late report by what was sent since
    Given a load estimate at 8000 tokens/s with a report of 5 requests and 4000 tokens made at 10 s
    When <events>
    Then it says <requests> requests and <tokens> tokens at <at> s

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

  Scenario: Engines with other weights see other block hashes
    Given a node with 3 engines that take 64 requests each
    When two of them load v2 and 30 requests come at one moment
    Then the policy was asked for each version apart, with hashes of that version
    And the cheaper of its two choices was taken

  Scenario Outline: An engine that the policy never prefers is tried all the same
    Given a node with 3 engines that take 64 requests each
    When the engine preferred least has failed and 20 requests a second come that are <kind>
    Then it has got <trials> after 10 s

    Examples:
      | kind                      | trials    |
      | repeatable                | one trial |
      | not repeatable            | no trial  |

  Scenario: A caller that goes away while it waits for the choice leaves no trace
    Given a node with 3 engines that take 64 requests each
    When 30 callers go away while their choice is made
    Then no engine and no service back end counts a request

  Scenario: Service back ends of the own zone are preferred until they are busier
    Given a service with 6 back ends in 3 zones
    When 12 requests come at one moment
    Then the first 4 go to the own zone and every back end gets some

  Scenario Outline: A service back end that fails is held out
    Given a service with 6 back ends in 3 zones
    When one of the own zone <fault>
    Then it gets <share> of the next 50 requests

    Examples:
      | fault                          | share |
      | breaks connections             | none  |
      | answers 503 to every request   | none  |
      | answers 500 to every request   | some  |
      | crosses an answer              | none  |
      | is listed as leaving           | none  |
      | was tried by the request       | none  |

  Scenario: Any node explains a request that another one served
    Given three nodes that each remember 4 requests
    When 6 requests have been served by the first node
    Then the third node explains the last one with its outcome, as text and as JSON
    And it explains nothing of the first one or of a request that nobody served
