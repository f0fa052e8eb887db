"""Tests of the distribution of a large response by referrals."""

from cuminhatch.decisions.referrals import HOLDERS_PER_DOMAIN, Referrals


def distribute(instances, is_alive=lambda name: True):
    """Distribute a response in one failure domain; return sends and rounds."""
    referrals_by_name = {"origin": Referrals()}
    pending = {f"i-{number}": "origin" for number in range(instances)}
    sends = dict.fromkeys(["origin", *pending], 0)
    rounds = 0
    while pending:
        rounds += 1
        for name, asked_name in list(pending.items()):
            own_referrals = referrals_by_name.setdefault(asked_name, Referrals())
            if not is_alive(asked_name):
                referrals_by_name["origin"].add_holder(name, "here")
                asked_name, holder = "origin", None
            else:
                holder = own_referrals.choose_holder(name, "here")
            if holder is None:
                sends[asked_name] += 1
                del pending[name]
            else:
                pending[name] = holder
    return sends, rounds


def test_no_instance_sends_to_more_than_a_few():
    """Guards against 141 large responses sent over one slow link."""
    sends, rounds = distribute(141)
    assert max(sends.values()) == HOLDERS_PER_DOMAIN
    assert rounds <= 9


def test_all_get_the_response_although_a_holder_stops():
    """Guards against instances that wait for a stopped instance."""
    sends, _ = distribute(50, is_alive=lambda name: name != "i-0")
    assert sum(sends.values()) == 50


def test_each_failure_domain_has_its_own_holders():
    """Guards against repeated large transfers between failure domains."""
    own_referrals = Referrals()
    assert [own_referrals.choose_holder(f"a{n}", "a") for n in range(3)][-1] in {
        "a0",
        "a1",
    }
    assert [own_referrals.choose_holder(f"b{n}", "b") for n in range(3)][-1] in {
        "b0",
        "b1",
    }
