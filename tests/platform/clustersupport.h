#pragma once

#include "libnet/httpserver.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <vector>

// Parts of GatewayCluster and its scripted servers.

// Configuration of the cluster as the operator writes it to the store.
extern const char* const clusterConfig;
// Its version 2, with the idempotent route "/added/".
boost::json::value clusterConfigWithAddedRoute();

// Returns a free port below the range from which the kernel assigns ports to clients.
std::uint16_t findFreePort();
std::string localAddress(std::uint16_t port);
// A chunk of a body with this content.
std::string chunkOf(const std::string& content);
// Fields that a backend server adds to its response: the ID of the request and its signature.
std::vector<Apricot::HttpField> signedFields(const Apricot::HttpRequest& request);
