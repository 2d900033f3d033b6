#pragma once

#include "dispatch/claimstore.h"
#include "platform/platformclient.h"

namespace Apricot {

// Stores claims in platform objects of the form {"keys": {claim key: token}}.
class PlatformClaimStore : public ClaimStore {
public:
    explicit PlatformClaimStore(PlatformClient& platform)
        : m_platform(platform)
    {
    }

    boost::asio::awaitable<ClaimObject> read(std::string objectKey) override;
    boost::asio::awaitable<ClaimWriteResult> compareAndPut(
        std::string objectKey, ClaimObject object) override;
    boost::asio::awaitable<void> remove(std::string objectKey) override;

private:
    PlatformClient& m_platform;
};

}
