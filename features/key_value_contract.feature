Feature: All adapters of the key-value port implement the same contract
  Code that passes its tests with the in-process store would fail in production if the etcd adapter
  reported other outcomes. Above all, a write whose answer is lost must not be reported as not done.

  Scenario Outline: Each step of the contract has the same outcome with both adapters
    When the key-value contract's "<step>" runs over the <adapter> adapter
    Then the key-value step ends with "<outcome>"

    Examples: without faults
      | step                                 | adapter    | outcome                         |
      | read of an empty store               | in-process | no keys at revision 1           |
      | read of an empty store               | HTTP       | no keys at revision 1           |
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
      | lease kept alive                     | in-process | 10 s, key present after 15 s    |
      | lease kept alive                     | HTTP       | 10 s, key present after 15 s    |
      | lease expired                        | in-process | lease_lost, key absent          |
      | lease expired                        | HTTP       | lease_lost, key absent          |
      | write under a lost lease             | in-process | lease_lost, key absent          |
      | write under a lost lease             | HTTP       | lease_lost, key absent          |
      | lease revoked                        | in-process | lease_lost, key absent          |
      | lease revoked                        | HTTP       | lease_lost, key absent          |
      | watch from a past revision           | in-process | a=one@2 a=two@3 a=none@4        |
      | watch from a past revision           | HTTP       | a=one@2 a=two@3 a=none@4        |
      | watch of an expiring lease           | in-process | a=one@2 a=none@3                |
      | watch of an expiring lease           | HTTP       | a=one@2 a=none@3                |

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
      | repeated swap after a lost answer    | in-process | refused, a=one at 2             |
      | repeated swap after a lost answer    | HTTP       | refused, a=one at 2             |
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

  Scenario Outline: The etcd adapter reports a failed exchange by what may have happened at the store
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
      | a JSON body of another form | ambiguous  | unreachable | unreachable |

  Scenario: The etcd adapter tries the next address only if nothing was sent
    When the first of two etcd addresses refuses connections
    Then a write reaches the second address once
    But when the first address resets the connection while reading, the second gets no request

  Scenario Outline: A slow write waits no longer than its timeout, whether or not it takes effect
    When a write with a timeout of 3 s waits for a store that takes <delay> s
    Then the slow write is <outcome> after <waited> s

    Examples:
      | delay | outcome               | waited |
      | 2     | written               | 2      |
      | 4     | ambiguous and written | 3      |
      | 8     | ambiguous and absent  | 3      |

  Scenario: The key-value app uses etcd's JSON format
    When a raw etcd range request for a written key is posted
    Then the reply has base64 keys and 64-bit numbers as strings
    And a request that is not JSON, or to an unknown path, gets an error with a gRPC code
