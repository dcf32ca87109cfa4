Feature: Behaviour of the stand-in engine in virtual time
  Guards against a stand-in engine that reuses cache across tenants or versions, loads weights or runs
  requests unlike a real engine, and so hides faults of the router from the experiments.

  Scenario Outline: A cached prefix is used only for the same tenant, version, adapter and run
    Given a stand-in engine that has answered a prompt of 20000 bytes
    When "<change>" happens and the prompt is sent again
    Then <cached> prompt tokens come from the cache

    Examples:
      | change          | cached |
      | nothing         | 4992   |
      | another tenant  | 0      |
      | another version | 0      |
      | another adapter | 0      |
      | a crash         | 0      |
      | longer prompt   | 4992   |
      | eviction        | 1392   |

  Scenario Outline: The kept-KV store serves only the same tenant and adds a bounded wait
    Given a kept-KV store that holds a prompt's prefix for tenant "bole-school"
    When an empty engine imports it for tenant "<tenant>" with the store "<fault>"
    Then <cached> prompt tokens come from the cache
    And the first chunk comes within <wait_s> s of an engine without a store

    Examples:
      | tenant        | fault      | cached | wait_s |
      | bole-school   | none       | 4992   | 0.0    |
      | kirkos-school | none       | 0      | 0.51   |
      | bole-school   | is_dead    | 0      | 0.001  |
      | bole-school   | is_stalled | 0      | 0.501  |

  Scenario Outline: Loading weights takes longer when several engines load at once
    Given a weight store of 1000 MB/s and engines with weights of 2000 MB
    When <num_engines> engines are ordered to load version "<version>" 0 s after one another
    Then each is done after <duration_s> s and serves "<served>"

    Examples:
      | num_engines | version | duration_s | served  |
      | 1           | v2      | 2          | v2      |
      | 3           | v2      | 6          | v2      |
      | 2           | damaged | 4          | nothing |

  Scenario: An engine that starts to load later shares the bandwidth from then on
    Given a weight store of 1000 MB/s and engines with weights of 2000 MB
    When 2 engines are ordered to load version "v2" 1 s after one another
    Then each is done after 3 s and serves "v2"

  Scenario: Reads of the weight store start at its rate limit
    Given a weight store that starts one read every 5 s
    When 3 engines are ordered to load version "v2" 0 s after one another
    Then the reads start 0, 5 and 10 s after the orders

  Scenario Outline: Working stores answer, and every call to a dead store fails at once
    Given a kept-KV store and a weight store with the fault "<fault>"
    When a chain is exported and imported and weights are read
    Then the stores answer "<blocks>" blocks and weights "<weights>"

    Examples:
      | fault   | blocks | weights |
      | none    | 5      | read    |
      | is_dead | failed | failed  |

  Scenario: Blocks of prompts that are prefilled in one step keep their own parents
    Given a stand-in engine for prompts, with room for two prompts
    When two tenants send a prompt at once
    Then every stored event continues the chain of one tenant

  Scenario: A lower priority number is served first and an expired request is dropped without a run
    Given a stand-in engine for prompts, that runs one request at a time
    When requests of priorities "5 9 1" and one with 0.001 s left wait behind a running request
    Then they start in the order "1 5 9" and the expired request never starts

  Scenario: Running requests finish on the version that they started with
    Given a stand-in engine for prompts, that runs one request at a time
    When a new version is ordered while a request runs and another waits
    Then the running request is complete on "v1" and the waiting request is refused as not run
