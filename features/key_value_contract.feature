Feature: The key-value port keeps one contract, in the process and over HTTP

  Scenario Outline: A step of the contract, over both adapters
    When the key-value contract's "<step>" runs over the <adapter> adapter
    Then the key-value step ends with "<outcome>"

    Examples: without faults
      | step                                 | adapter    | outcome                         |
      | read of nothing                      | in-process | no keys at revision 1           |
      | read of nothing                      | HTTP       | no keys at revision 1           |
      | creation                             | in-process | written at revision 2           |
      | creation                             | HTTP       | written at revision 2           |
      | creation twice                       | in-process | refused, a=one at 2             |
      | creation twice                       | HTTP       | refused, a=one at 2             |
      | swap from the right revision         | in-process | written at revision 3           |
      | swap from the right revision         | HTTP       | written at revision 3           |
      | swap from an old revision            | in-process | refused, a=two at 3             |
      | swap from an old revision            | HTTP       | refused, a=two at 3             |
      | deletion                             | in-process | deleted at revision 3           |
      | deletion                             | HTTP       | deleted at revision 3           |
      | read by prefix                       | in-process | a/1=x a/2=y at revision 4       |
      | read by prefix                       | HTTP       | a/1=x a/2=y at revision 4       |
      | bytes of any value                   | in-process | 256 bytes kept                  |
      | bytes of any value                   | HTTP       | 256 bytes kept                  |
      | lease kept alive                     | in-process | 10 s, key there after 15 s      |
      | lease kept alive                     | HTTP       | 10 s, key there after 15 s      |
      | lease run out                        | in-process | lease_lost, key gone            |
      | lease run out                        | HTTP       | lease_lost, key gone            |
      | write under a lost lease             | in-process | lease_lost, key gone            |
      | write under a lost lease             | HTTP       | lease_lost, key gone            |
      | lease revoked                        | in-process | lease_lost, key gone            |
      | lease revoked                        | HTTP       | lease_lost, key gone            |
      | watch from a past revision           | in-process | a=one@2 a=two@3 a=none@4        |
      | watch from a past revision           | HTTP       | a=one@2 a=two@3 a=none@4        |
      | watch sees a lease run out           | in-process | a=one@2 a=none@3                |
      | watch sees a lease run out           | HTTP       | a=one@2 a=none@3                |

    Examples: faults
      | step                                 | adapter    | outcome                         |
      | write while down                     | in-process | unreachable, a absent           |
      | write while down                     | HTTP       | unreachable, a absent           |
      | read while down                      | in-process | unreachable, a absent           |
      | read while down                      | HTTP       | unreachable, a absent           |
      | write with a lost answer             | in-process | ambiguous, a=one                |
      | write with a lost answer             | HTTP       | ambiguous, a=one                |
      | read with a lost answer              | in-process | unreachable, a absent           |
      | read with a lost answer              | HTTP       | unreachable, a absent           |
      | lost answer settled by the same swap | in-process | refused, a=one at 2             |
      | lost answer settled by the same swap | HTTP       | refused, a=one at 2             |
      | write over the rate limit            | in-process | rate_limited after 0.5 s, a absent |
      | write over the rate limit            | HTTP       | rate_limited after 0.5 s, a absent |
      | watch cut                            | in-process | a=one@2 unreachable             |
      | watch cut                            | HTTP       | a=one@2 unreachable             |
      | watch while down                     | in-process | unreachable                     |
      | watch while down                     | HTTP       | unreachable                     |
      | watch over the rate limit            | in-process | rate_limited                    |
      | watch over the rate limit            | HTTP       | rate_limited                    |
      | watch from a compacted revision      | in-process | compacted                       |
      | watch from a compacted revision      | HTTP       | compacted                       |

  Scenario Outline: What the etcd adapter makes of a broken exchange
    When the etcd adapter's exchange ends in "<event>"
    Then a write is <write>, a read is <read> and a watch ends <watch>

    Examples:
      | event                    | write       | read        | watch       |
      | a refused connection     | unreachable | unreachable | unreachable |
      | a connection timeout     | unreachable | unreachable | unreachable |
      | a reset while reading    | ambiguous   | unreachable | unreachable |
      | a reset while writing    | ambiguous   | unreachable | unreachable |
      | an answer timeout        | ambiguous   | unreachable | unreachable |
      | status 500               | ambiguous   | unreachable | unreachable |
      | status 503, timed out    | ambiguous   | unreachable | unreachable |
      | status 503, no leader    | unreachable | unreachable | unreachable |
      | status 429               | rate_limited | rate_limited | rate_limited |
      | a body that is not JSON  | ambiguous   | unreachable | unreachable |
      | a JSON body of a stranger | ambiguous  | unreachable | unreachable |

  Scenario: The etcd adapter goes on to the next address only while nothing was sent
    When the first of two etcd addresses refuses connections
    Then a write reaches the second address once
    But when the first one resets the connection while reading, the second gets nothing

  Scenario Outline: A slow store is given up after the timeout, before or after the effect
    When a write waits on a store that takes <delay> s with a timeout of 3 s
    Then the slow write is <outcome> after <waited> s

    Examples:
      | delay | outcome               | waited |
      | 2     | written               | 2      |
      | 4     | ambiguous and written | 3      |
      | 8     | ambiguous and absent  | 3      |

  Scenario: The gateway speaks etcd's JSON
    When a raw etcd range request for a written key is posted
    Then the reply has base64 keys and 64-bit numbers as strings
    And a request that is no JSON, or of an unknown path, is an error with a gRPC code
